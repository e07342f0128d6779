"""Checks every pointer, list and text of a Cap'n Proto message.

Cap'n Proto reads lazily: a wrong pointer raises only when its field is read. One walk
over all fields of the schema right after a message is opened keeps such errors away
from the code that uses it.
"""

__all__ = ["make_validator"]

_POINTERS = ("text", "data", "list", "struct")
_NO_UNION = 0xFFFF


def make_validator(struct_schema):
    """Return a function that reads all pointer fields of a struct once.

    Parameters
    ----------
    struct_schema : capnp struct schema
        Without recursive types.

    Returns
    -------
    callable
        Takes a reader. It raises ``capnp.KjException`` or ``ValueError`` if the
        message is malformed.
    """
    always, union = [], {}
    for name, field in struct_schema.fields.items():
        visit = _make_visit(name, field)
        if field.proto.discriminantValue != _NO_UNION:
            union[name] = visit
        elif visit is not None:
            always.append(visit)

    def validate(reader):
        for visit in always:
            visit(reader)
        if union:
            visit = union[reader.which()]
            if visit is not None:
                visit(reader)

    return validate


def _make_visit(name, field):
    kind = field.proto.slot.type.which()
    if kind not in _POINTERS:
        return None
    if kind == "struct":
        validate = make_validator(field.schema)
        return lambda reader: validate(getattr(reader, name))
    if kind == "list":
        return _make_list_visit(name, field)
    return lambda reader: getattr(reader, name)


def _make_list_visit(name, field):
    if field.proto.slot.type.list.elementType.which() == "struct":
        validate = make_validator(field.schema.elementType)
    else:
        validate = None

    def visit(reader):
        for element in getattr(reader, name):
            if validate is not None:
                validate(element)

    return visit
