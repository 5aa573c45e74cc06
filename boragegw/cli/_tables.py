"""Text tables for terminal output."""


def format_table(header, rows):
    """Yield the lines of a table with left-aligned columns."""
    cells = [[str(value) for value in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = (value.ljust(width) for value, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()
