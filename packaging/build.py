"""Builds the one-file binary: ``make binary``.

PyInstaller makes a folder; the folder is appended to a small launcher that unpacks it
once into a memory file system and replaces its own process image. See
``docs/decisions/binary.md``.
"""

import hashlib
import pathlib
import struct
import subprocess
import sys

import PyInstaller.__main__

ROOT = pathlib.Path(__file__).parents[1]
BUILD = ROOT / "build"
EXCLUDED = (
    "numpy",
    "matplotlib",
    "PIL",
    "faker",
    "polyfactory",
    "pytest",
    "hypothesis",
    "tkinter",
    "IPython",
)
OUTPUT = ROOT / "dist" / "boragegw"


def make_folder():
    """Return the folder that PyInstaller makes."""
    entry = BUILD / "launch.py"
    entry.write_text(
        "import sys\nfrom boragegw import cli\nsys.exit(cli.main())\n", encoding="utf-8"
    )
    schema = ROOT / "boragegw" / "peers" / "messages.capnp"
    PyInstaller.__main__.run(
        [
            str(entry),
            "--onedir",
            "--noconfirm",
            f"--paths={ROOT}",
            "--name=boragegw",
            f"--distpath={BUILD / 'folder'}",
            f"--workpath={BUILD / 'work'}",
            f"--specpath={BUILD}",
            f"--add-data={schema}:boragegw/peers",
            "--collect-submodules=uvicorn",
            "--collect-all=capnp",
            "--collect-submodules=opentelemetry.exporter.otlp.proto.http",
            *(f"--exclude-module={name}" for name in EXCLUDED),
            "--copy-metadata=opentelemetry-sdk",
            "--copy-metadata=opentelemetry-api",
            "--log-level=WARN",
        ]
    )
    return BUILD / "folder" / "boragegw"


def make_launcher():
    """Return the compiled launcher's bytes."""
    output = BUILD / "launcher"
    source = pathlib.Path(__file__).with_name("launcher.c")
    subprocess.run(["cc", "-O2", "-Wall", "-o", output, source], check=True)
    return output.read_bytes()


def records(folder):
    """Yield the record of each file in ``folder``; links are followed."""
    for path in sorted(folder.rglob("*")):
        if not path.is_file():
            continue
        name = str(path.relative_to(folder)).encode()
        content = path.read_bytes()
        mode = 0o755 if path.stat().st_mode & 0o100 else 0o644
        yield struct.pack("<IIQ", mode, len(name), len(content)) + name + content


def main():
    """Build the folder and the launcher, and join them."""
    BUILD.mkdir(exist_ok=True)
    launcher = make_launcher()
    payload = b"".join(records(make_folder()))
    build = hashlib.sha256(payload).hexdigest()[:16].encode()
    trailer = struct.pack("<Q", len(launcher)) + build + b"BORAGEGW"
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_bytes(launcher + payload + trailer)
    OUTPUT.chmod(0o755)
    print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
