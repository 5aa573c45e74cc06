"""``boragegw configure``: documents from the questionnaire's answers."""

import difflib
import json

from boragegw import configuration
from boragegw.cli import _interview


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "configure",
        help="make the configuration documents from a questionnaire",
        description="Make the configuration documents from a questionnaire's answers. "
        "The same answers give the same bytes. Recalls in force are kept. Nothing is "
        "published: give the folder to the platform's own tool.",
    )
    parser.add_argument("answers", metavar="ANSWERS", help="file in JSON with comments")
    parser.add_argument("--output", metavar="DIR", help="folder for the documents")
    parser.add_argument(
        "--published",
        metavar="PLACE",
        help="folder or http://HOST:PORT with what is published now",
    )
    parser.add_argument(
        "--interactive",
        action="store_true",
        help="ask the questions first and write the answers file",
    )
    parser.add_argument(
        "--explain", action="store_true", help="show each value and its cause"
    )
    parser.add_argument(
        "--diff", action="store_true", help="show what would change, write nothing"
    )
    parser.set_defaults(run=run)


def run(options):
    """Run the command."""
    if options.interactive:
        _interview.interview(options.answers)
    data = configuration.load_jsonc(options.answers)
    answers = configuration.validate_model(configuration.Answers, data, options.answers)
    configuration.check_answers(answers, options.answers)
    values = list(configuration.generate(answers))
    documents = configuration.build_documents(values)
    published = configuration.PublishedConfiguration()
    if options.published:
        published = configuration.read_published(options.published)
    if options.explain:
        print("\n".join(explanations(values)))
    if options.diff:
        print("\n".join(differences(published, documents)))
        return 0
    if options.output:
        _write(options.output, published, documents)
    return 0


def explanations(values):
    """Yield a line for each generated value."""
    for value in values:
        shown = json.dumps(value.value)
        yield f"{value.document}: {value.key} = {shown}\n    because of {value.origin}"


def differences(published, documents):
    """Yield the lines of a unified diff against what is published."""
    gone = set(published.documents) - set(documents) - {"recalls"}
    for name in sorted(set(documents) | gone):
        before = published.documents.get(name, b"").decode().splitlines()
        after = documents.get(name, b"").decode().splitlines()
        yield from difflib.unified_diff(
            before, after, f"published/{name}", f"new/{name}", lineterm=""
        )


def _write(folder, published, documents):
    """Write the next revision; recalls in force are carried over as they are."""
    recalls = published.documents.get("recalls")
    if recalls is None:
        recalls = configuration.encode_document(configuration.RecallsDocument())
    next_documents = {**documents, "recalls": recalls}
    if next_documents == published.documents:
        print(f"nothing has changed since revision {published.revision}")
        return
    base = configuration.PublishedConfiguration(published.revision)
    revision = configuration.write_next_revision(folder, base, next_documents)
    print(f"revision {revision} with {len(next_documents)} documents in {folder}")
