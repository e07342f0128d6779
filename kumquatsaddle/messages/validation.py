"""Checks every pointer, list and text of a Cap'n Proto message.

Cap'n Proto reads lazily: an invalid pointer raises only when its field is read. All
fields are therefore read once right after a message is opened, so that later accesses
do not raise.
"""

__all__ = ["make_validator"]

_POINTER_TYPES = ("text", "data", "list", "struct")
# Discriminant of a field that is not part of a union.
_NO_DISCRIMINANT = 0xFFFF


def make_validator(struct_schema):
    """Return a function that reads all pointer fields of a struct once.

    Parameters
    ----------
    struct_schema : capnp struct schema
        Without recursive types.

    Returns
    -------
    callable
        Takes a reader; raises ``capnp.KjException`` or ``ValueError`` if the
        message is malformed.
    """
    common_visitors, union_visitors = [], {}
    for name, field in struct_schema.fields.items():
        visit = _make_field_visitor(name, field)
        if field.proto.discriminantValue != _NO_DISCRIMINANT:
            union_visitors[name] = visit
        elif visit is not None:
            common_visitors.append(visit)

    def validate(reader):
        for visit in common_visitors:
            visit(reader)
        if union_visitors:
            visit = union_visitors[reader.which()]
            if visit is not None:
                visit(reader)

    return validate


def _make_field_visitor(name, field):
    kind = field.proto.slot.type.which()
    if kind not in _POINTER_TYPES:
        return None
    if kind == "struct":
        validate = make_validator(field.schema)
        return lambda reader: validate(getattr(reader, name))
    if kind == "list":
        return _make_list_visitor(name, field)
    return lambda reader: getattr(reader, name)


def _make_list_visitor(name, field):
    if field.proto.slot.type.list.elementType.which() == "struct":
        validate = make_validator(field.schema.elementType)
    else:
        validate = None

    def visit(reader):
        for element in getattr(reader, name):
            if validate is not None:
                validate(element)

    return visit
