"""Which folders of the package may know which."""

import ast
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src" / "godwitbank" / "_internal"


def list_imports(path: Path) -> set[str]:
    """List the modules of this package that a file imports, in whatever way."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        module = node.module if isinstance(node, ast.ImportFrom) else ""
        if module and module.startswith("godwitbank._internal."):
            found.add(module.removeprefix("godwitbank._internal."))
    return found


def test_no_module_imports_itself_by_way_of_others() -> None:
    # Symptom: an import fails, or works only in one order. Cause: two modules that
    # need each other, one of them perhaps only for its annotations.
    modules = {
        str(path.relative_to(SOURCE).with_suffix("")).replace("/", "."): path
        for path in SOURCE.rglob("*.py")
    }
    needs = {name: list_imports(path) & set(modules) for name, path in modules.items()}

    def reach(name: str, seen: set[str]) -> set[str]:
        for other in needs[name] - seen:
            seen.add(other)
            reach(other, seen)
        return seen

    circular = [name for name in needs if name in reach(name, set())]
    assert circular == []
