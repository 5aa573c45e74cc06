"""Tables on a terminal."""


def table(head, rows):
    """Yield the lines of a table."""
    cells = [[str(value) for value in row] for row in [head, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    for row in cells:
        padded = (value.ljust(width) for value, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()
