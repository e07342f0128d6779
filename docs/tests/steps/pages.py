import doctest
import importlib
import re

from behave import then, when

from docs.tests import pages
from docs.tests.pages import MISSING, NOT_RUN, ROOT, list_pages, read_blocks
from docs.tests.sessions import run_page
from kumquatsaddle.exchange import Answer
from kumquatsaddle.routes.review import checks, whole_checks
from kumquatsaddle.types import RefusalReason

OPTIONS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE
# Part of the name that stands for a choice of the reader.
PLACEHOLDER = re.compile(r"(?:^|/)[A-Z]{2,}(?:/|$)")


def name_of(page):
    return str(page.relative_to(ROOT))


def check_none(problems):
    assert not problems, "\n".join(problems)


@then("every path that a page names exists")
def check_paths(context):
    check_none(
        [
            f"{name_of(page)}: {path}"
            for page in list_pages()
            for path in pages.find_paths(page)
            if path not in MISSING and not PLACEHOLDER.search(path)
            if not any(ROOT.glob(path))
        ]
    )


def is_importable(name):
    parts = name.split(".")
    for size in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(parts[:size]))
        except ModuleNotFoundError:
            continue
        for part in parts[size:]:
            if not hasattr(found, part):
                return False
            found = getattr(found, part)
        return True
    return False


@then("every module that a page names can be imported")
def check_modules(context):
    check_none(
        [
            f"{name_of(page)}: {name}"
            for page in list_pages()
            for name in pages.find_modules(page)
            if not is_importable(name)
        ]
    )


def resolves(page, target):
    path, _, anchor = target.partition("#")
    file = (page.parent / path).resolve() if path else page
    if not file.exists():
        return False
    return not anchor or anchor in pages.list_anchors(file)


@then("every relative link of the pages resolves")
def check_links(context):
    links = [(page, link) for page in list_pages() for link in pages.find_links(page)]
    assert links
    check_none(
        [f"{name_of(page)}: {link}" for page, link in links if not resolves(page, link)]
    )


@then("the index links to every page below docs")
def check_index(context):
    index = ROOT / "docs" / "README.md"
    linked = {(index.parent / link).resolve() for link in pages.find_links(index)}
    listed = [page for page in list_pages() if page.parent != ROOT and page != index]
    check_none([name_of(page) for page in listed if page not in linked])


@then("the protocol page lists every refusal reason with its status and outcome")
def check_reasons(context):
    text = (ROOT / "docs" / "protocol.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| `([\w-]+)` \|", text, re.MULTILINE)
    expected = []
    for reason in RefusalReason:
        answer = Answer.from_reason(reason)
        expected.append((reason.value, str(answer.status), answer.outcome.value))
    expected.remove(("answer_forgotten", "503", "not-run"))
    assert sorted(rows) == sorted(expected), set(rows) ^ set(expected)
    assert "| `answer_forgotten` | as recorded | `done` |" in text


@then("the review page lists every check and says which need all entries")
def check_review(context):
    text = (ROOT / "docs" / "operators" / "review-a-configuration.md").read_text()
    table = text.partition("## Checks")[2].partition("\n\nThe work")[0]
    rows = [row.split("|")[1] for row in table.splitlines() if row.startswith("| `")]
    marks = dict(re.findall(r"`(\w+)`( \*)?", " ".join(rows)))
    expected = dict.fromkeys(["invalid", "no_effect", *checks.names()], "")
    whole = [*whole_checks.names(), "version_not_newer", "no_accounts_left"]
    expected |= dict.fromkeys(whole, " *")
    assert marks == expected, set(marks.items()) ^ set(expected.items())


def list_commands():
    return [
        (page, command)
        for page in list_pages()
        for block in read_blocks(page)
        if block.language == "console"
        for command in pages.read_commands(block)
    ]


def read_recipe(target):
    makefile = (ROOT / "Makefile").read_text()
    match = re.search(rf"^{target}:.*\n((?:\t.*\n)+)", makefile, re.MULTILINE)
    return match[1] if match else ""


@then("every make target that a page shows runs a module or tool that exists")
def check_targets(context):
    pattern = re.compile(r"(?:^\$ |`)make ([a-z]+)", re.MULTILINE)
    problems = []
    for page in list_pages():
        for target in set(pattern.findall(page.read_text())):
            if f"make {target}" in MISSING:
                continue
            recipe = read_recipe(target)
            modules = re.findall(r"-m ([\w.]+)", recipe)
            if not recipe or not all(map(is_importable, modules)):
                problems.append(f"{name_of(page)}: make {target}")
    check_none(problems)


@then("every command that is not run is shown by a page and has a reason")
def check_exceptions(context):
    shown = {command.text for _, command in list_commands()}
    assert not set(NOT_RUN) - shown, set(NOT_RUN) - shown
    assert all(NOT_RUN.values()) and all(MISSING.values())


@then("every page with commands that may run is named in this feature")
def check_coverage(context):
    shown = list_commands()
    runnable = {name_of(page) for page, entry in shown if entry.text not in NOT_RUN}
    outlines = [
        entry for entry in context.feature.scenarios if hasattr(entry, "examples")
    ]
    named = {row["page"] for entry in outlines for row in entry.examples[0].table}
    assert runnable == named, runnable ^ named


@then("the Python examples of all pages give the results shown")
def run_examples(context):
    runner = doctest.DocTestRunner(optionflags=OPTIONS)
    output = []
    for page in list_pages():
        texts = [
            block.text for block in read_blocks(page) if block.language == "python"
        ]
        test = doctest.DocTestParser().get_doctest(
            "\n".join(texts), {"__name__": "__main__"}, name_of(page), name_of(page), 0
        )
        runner.run(test, out=output.append)
    assert runner.tries > 0
    assert not runner.failures, "".join(output)


@when('the commands of the page "{name}" are run')
def run_commands(context, name):
    context.results = run_page(ROOT / name)


@then("each of them succeeds and prints what the page shows")
def check_results(context):
    assert context.results
    checker = doctest.OutputChecker()
    for command, code, output in context.results:
        assert code == 0, f"$ {command.text}\nexit code {code}\n{output}"
        if command.output:
            shown = checker.check_output(command.output, output, OPTIONS)
            assert shown, f"$ {command.text}\n{output}"
