"""The command line: serve, submit, status, cancel, check-config."""

import asyncio
import logging
import os
import sys
from datetime import timedelta
from pathlib import Path
from typing import IO, NoReturn

import click
import uvloop

from gingerspar import __version__
from gingerspar.protocol import names
from gingerspar.protocol.settings import (
    BadSettings,
    OperatorSettings,
    Settings,
    parse_operator_settings,
    parse_settings,
    read_text,
)

OPERATOR_VARIABLE = "GINGERSPAR_OPERATOR"
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _load(config: Path, operator: Path | None) -> tuple[Settings, OperatorSettings]:
    try:
        settings = parse_settings(read_text(config))
    except BadSettings as error:
        _refuse(config, error)
    try:
        own = parse_operator_settings(read_text(operator)) if operator is not None else OperatorSettings()
    except BadSettings as error:
        _refuse(operator, error)
    return settings, own


def _refuse(path: Path | None, error: Exception) -> NoReturn:
    click.echo(f"gingerspar: {path}: {error}", err=True)
    sys.exit(2)


def _log_level() -> int:
    given = os.environ.get("LOG_LEVEL", "info").lower()
    return LEVELS.get(given, logging.INFO)


_config = click.option(
    "--config", required=True, type=click.Path(path_type=Path, dir_okay=False), help="The platform's settings (TOML)."
)
_operator = click.option(
    "--operator",
    envvar=OPERATOR_VARIABLE,
    type=click.Path(path_type=Path, dir_okay=False),
    help="The operators' own settings (YAML).",
)


@click.command()
@_config
@_operator
def serve(config: Path, operator: Path | None) -> None:
    """Run a controller until it is killed."""
    settings, own = _load(config, operator)
    logging.basicConfig(level=_log_level(), format="%(levelname)s %(name)s %(message)s", stream=sys.stderr)
    from gingerspar.controller import Controller
    from gingerspar.coordination.membership.term import cancel_limit_problem

    too_short = cancel_limit_problem(settings.facts)
    if too_short is not None:
        logging.getLogger(__name__).error("%s", too_short)  # the rest is served all the same

    async def main() -> None:
        await Controller(settings, own).run()

    # tornado's streams on a loop in C: a busy leader goes through well over a thousand rounds a second.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


@click.group()
@click.version_option(__version__, prog_name="gingerspar")
def main() -> None:
    """A cluster scheduler."""


main.add_command(serve)


@main.command("check-config")
@_config
@_operator
def check_config(config: Path, operator: Path | None) -> None:
    """Check settings files and say what is wrong with them."""
    settings, own = _load(config, operator)
    from gingerspar.coordination.membership.term import cancel_limit_problem

    too_short = cancel_limit_problem(settings.facts)
    if too_short is not None:
        _refuse(config, BadSettings(too_short))
    click.echo(f"{settings.node}: settings are fine")
    for name in own.__struct_fields__:
        click.echo(f"  {name}: {getattr(own, name)}")


_node = click.option("--node", required=True, metavar="HOST:PORT", help="A controller or the load balancer.")


def _ask(node: str, method: str, path: str, body: bytes | None = None) -> None:
    from gingerspar.transport.client import Client, NoAnswer

    async def ask() -> tuple[int, bytes]:
        client = Client(node)
        try:
            return await client.request(method, path, body, timeout=timedelta(seconds=5))
        finally:
            client.close()

    if not node.rpartition(":")[2].isdigit():
        raise click.BadParameter("expected HOST:PORT", param_hint="--node")
    try:
        status, answer = asyncio.run(ask())
    except NoAnswer as error:
        raise click.ClickException(f"no answer: {error}") from error
    click.echo(answer.decode(errors="replace"))
    if status >= 400:
        click.echo(f"refused with status {status}", err=True)
        sys.exit(1)


@main.command()
@_node
@click.argument("job", type=click.File("rb"))
def submit(node: str, job: IO[bytes]) -> None:
    """Submit the job described in the JSON file JOB (- for standard input)."""
    _ask(node, "POST", names.PATH_JOBS, job.read())


@main.command()
@_node
@click.argument("job")
def status(node: str, job: str) -> None:
    """Show how the job fares."""
    _ask(node, "GET", f"{names.PATH_JOBS}/{job}")


@main.command()
@_node
@click.argument("job")
def cancel(node: str, job: str) -> None:
    """Cancel the job."""
    _ask(node, "POST", f"{names.PATH_JOBS}/{job}{names.PATH_ABORT}", b"")


if __name__ == "__main__":
    main()
