"""``boragegw configure``: generates documents from the questionnaire's answers."""

import difflib
import json

from boragegw import configuration
from boragegw.cli import _questionnaire


def add_parser(commands):
    """Add the ``configure`` command to the subparsers."""
    parser = commands.add_parser(
        "configure",
        help="generate configuration documents from a questionnaire",
        description="Generate configuration documents from a questionnaire's answers. "
        "The same answers give the same bytes. Recalls in force are kept. Nothing is "
        "published: publish the folder with the platform's own tool.",
    )
    parser.add_argument(
        "answers", metavar="ANSWERS", help="answers in JSON with comments"
    )
    parser.add_argument("--output", metavar="DIR", help="output folder")
    parser.add_argument(
        "--published",
        metavar="PLACE",
        help="folder or http://HOST:PORT of the published configuration",
    )
    parser.add_argument(
        "--interactive",
        action="store_true",
        help="ask the questions on the terminal and write the answers file first",
    )
    parser.add_argument(
        "--explain", action="store_true", help="print each value and its reason"
    )
    parser.add_argument(
        "--diff",
        action="store_true",
        help="print a diff against the published documents and write nothing",
    )
    parser.set_defaults(run=run)


def run(options):
    """Generate the documents, then explain, compare or write them."""
    if options.interactive:
        _questionnaire.ask_questions(options.answers)
    data = configuration.load_jsonc(options.answers)
    answers = configuration.validate_model(configuration.Answers, data, options.answers)
    configuration.check_answers(answers, options.answers)
    values = list(configuration.generate(answers))
    documents = configuration.build_documents(values)
    published = configuration.PublishedConfiguration()
    if options.published:
        published = configuration.read_published(options.published)
    if options.explain:
        print("\n".join(explanation_lines(values)))
    if options.diff:
        print("\n".join(diff_lines(published, documents)))
        return 0
    if options.output:
        _write_revision(options.output, published, documents)
    return 0


def explanation_lines(values):
    """Yield the text for each generated value: the value and its reason."""
    for value in values:
        text = json.dumps(value.value)
        yield f"{value.document}: {value.key} = {text}\n    because of {value.origin}"


def diff_lines(published, documents):
    """Yield the lines of a unified diff against the published documents."""
    removed = set(published.documents) - set(documents) - {"recalls"}
    for name in sorted(set(documents) | removed):
        before = published.documents.get(name, b"").decode().splitlines()
        after = documents.get(name, b"").decode().splitlines()
        yield from difflib.unified_diff(
            before, after, f"published/{name}", f"new/{name}", lineterm=""
        )


def _write_revision(folder, published, documents):
    """Write the next revision, with the recalls document in force unchanged."""
    recalls = published.documents.get("recalls")
    if recalls is None:
        recalls = configuration.encode_document(configuration.RecallsDocument())
    next_documents = {**documents, "recalls": recalls}
    if next_documents == published.documents:
        print(f"nothing has changed since revision {published.revision}")
        return
    base_revision = configuration.PublishedConfiguration(published.revision)
    revision = configuration.write_next_revision(folder, base_revision, next_documents)
    print(f"revision {revision} with {len(next_documents)} documents in {folder}")
