"""Generates the data classes of ``schema/`` from its ``.proto`` files.

``generate_schema.py DIRECTORY`` writes the classes; with ``--check`` it compares
the committed ones with freshly generated ones and exits 1 on a difference.
"""

import filecmp
import os
import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc


def generate(proto_dir: Path, out_dir: Path) -> None:
    """Run the protobuf compiler on all ``.proto`` files of a directory.

    Raises
    ------
    SystemExit
        The compiler reported an error.
    """
    os.environ["PATH"] = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    files = sorted(str(path) for path in proto_dir.glob("*.proto"))
    options = "--python_betterproto2_opt=client_generation=async,server_generation=async"
    output = f"--python_betterproto2_out={out_dir}"
    args = ["protoc", f"-I{proto_dir}", output, options, *files]
    if protoc.main(args) != 0:
        sys.exit(1)


def differing_files(fresh: Path, committed: Path) -> list[str]:
    """Return the generated files that differ from the committed ones or are missing there."""
    names = [str(path.relative_to(fresh)) for path in fresh.rglob("*.py")]
    _, mismatched, missing = filecmp.cmpfiles(fresh, committed, names, shallow=False)
    return sorted([*mismatched, *missing])


def main(argv: list[str]) -> int:
    """Generate the data classes, or compare them with ``--check``; return the exit status."""
    check = "--check" in argv
    schema_dir = Path(argv[-1])
    proto_dir = schema_dir / "proto"
    if not check:
        generate(proto_dir, schema_dir)
        return 0
    with tempfile.TemporaryDirectory() as fresh:
        generate(proto_dir, Path(fresh))
        outdated = differing_files(Path(fresh), schema_dir)
    for name in outdated:
        print(f"out of date: {name}; run 'make generate'")
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
