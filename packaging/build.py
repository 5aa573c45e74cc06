"""Builds the one-file binary: ``make binary``.

PyInstaller builds a folder, which is appended to a small launcher. The launcher unpacks
the folder once into a memory file system and replaces its own process image. See
``docs/decisions/binary.md``.
"""

import hashlib
import pathlib
import struct
import subprocess
import sys

import PyInstaller.__main__

ROOT = pathlib.Path(__file__).parents[1]
BUILD_FOLDER = ROOT / "build"
EXCLUDED_MODULES = (
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
OUTPUT_FILE = ROOT / "dist" / "boragegw"


def build_program_folder():
    """Run PyInstaller and return the folder that it builds."""
    start_script = BUILD_FOLDER / "launch.py"
    start_script.write_text(
        "import sys\nfrom boragegw import cli\nsys.exit(cli.main())\n", encoding="utf-8"
    )
    schema = ROOT / "boragegw" / "peers" / "messages.capnp"
    PyInstaller.__main__.run(
        [
            str(start_script),
            "--onedir",
            "--noconfirm",
            f"--paths={ROOT}",
            "--name=boragegw",
            f"--distpath={BUILD_FOLDER / 'folder'}",
            f"--workpath={BUILD_FOLDER / 'work'}",
            f"--specpath={BUILD_FOLDER}",
            f"--add-data={schema}:boragegw/peers",
            "--collect-submodules=uvicorn",
            "--collect-all=capnp",
            "--collect-submodules=opentelemetry.exporter.otlp.proto.http",
            *(f"--exclude-module={name}" for name in EXCLUDED_MODULES),
            "--copy-metadata=opentelemetry-sdk",
            "--copy-metadata=opentelemetry-api",
            "--log-level=WARN",
        ]
    )
    return BUILD_FOLDER / "folder" / "boragegw"


def compile_launcher():
    """Compile ``launcher.c`` and return the executable's bytes."""
    output = BUILD_FOLDER / "launcher"
    source = pathlib.Path(__file__).with_name("launcher.c")
    subprocess.run(["cc", "-O2", "-Wall", "-o", output, source], check=True)
    return output.read_bytes()


def pack_records(folder):
    """Yield a record for each file in ``folder``, following symbolic links."""
    for path in sorted(folder.rglob("*")):
        if not path.is_file():
            continue
        name = str(path.relative_to(folder)).encode()
        content = path.read_bytes()
        mode = 0o755 if path.stat().st_mode & 0o100 else 0o644
        yield struct.pack("<IIQ", mode, len(name), len(content)) + name + content


def main():
    """Build the launcher and the folder, and join them into the binary."""
    BUILD_FOLDER.mkdir(exist_ok=True)
    launcher = compile_launcher()
    payload = b"".join(pack_records(build_program_folder()))
    build_id = hashlib.sha256(payload).hexdigest()[:16].encode()
    trailer = struct.pack("<Q", len(launcher)) + build_id + b"BORAGEGW"
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    OUTPUT_FILE.write_bytes(launcher + payload + trailer)
    OUTPUT_FILE.chmod(0o755)
    print(f"{OUTPUT_FILE.relative_to(ROOT)}: {OUTPUT_FILE.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
