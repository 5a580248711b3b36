"""Options, error handling and exit codes of all command line programs."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Callable
from typing import Annotated, TypeAlias

import cappa

from marjoramwharf.errors import Failure
from marjoramwharf.programs._client import (
    ENTRIES_VARIABLE,
    TOKEN_FILE_VARIABLE,
    exit_code_of,
)
from marjoramwharf.programs._output import abandon_output, print_error

EntryOption: TypeAlias = Annotated[
    list[str],
    cappa.Arg(
        long='--entry',
        propagate=True,
        default=(),
        show_default=False,
        help=f'URL of an entry, repeatable; else {ENTRIES_VARIABLE}.',
    ),
]
TokenFileOption: TypeAlias = Annotated[
    pathlib.Path | None,
    cappa.Arg(
        long='--token-file',
        propagate=True,
        show_default=False,
        help=f'File with the operator token; else {TOKEN_FILE_VARIABLE}.',
    ),
]
JsonOption: TypeAlias = Annotated[
    bool,
    cappa.Arg(
        long='--json',
        propagate=True,
        show_default=False,
        help='Print JSON.',
    ),
]


def run_command(command: Callable[[], int]) -> int:
    """Run a command and return its exit code; failures are printed."""
    try:
        code = command()
        # A closed pipe is seen here instead of at the interpreter's exit.
        sys.stdout.flush()
    except Failure as failure:
        print_error(failure.message)
        return exit_code_of(failure)
    except BrokenPipeError:
        return abandon_output()
    return code
