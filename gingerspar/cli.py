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
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _load(config: Path, operator: Path | None) -> tuple[Settings, OperatorSettings]:
    """Reads both settings files; ends the process with status 2 if one is invalid."""
    try:
        settings = parse_settings(read_text(config))
    except BadSettings as error:
        _exit_with_error(config, error)
    try:
        operator_settings = parse_operator_settings(read_text(operator)) if operator is not None else OperatorSettings()
    except BadSettings as error:
        _exit_with_error(operator, error)
    return settings, operator_settings


def _exit_with_error(path: Path | None, error: Exception) -> NoReturn:
    click.echo(f"gingerspar: {path}: {error}", err=True)
    sys.exit(2)


def _log_level() -> int:
    """The level named by the environment variable ``LOG_LEVEL``; ``info`` if it names none."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    return LOG_LEVELS.get(level, logging.INFO)


_config = click.option(
    "--config", required=True, type=click.Path(path_type=Path, dir_okay=False), help="The platform's settings (TOML)."
)
_operator = click.option(
    "--operator",
    envvar=OPERATOR_VARIABLE,
    type=click.Path(path_type=Path, dir_okay=False),
    help="The operators' settings (YAML).",
)


@click.command()
@_config
@_operator
def serve(config: Path, operator: Path | None) -> None:
    """Run a controller until it is killed."""
    settings, operator_settings = _load(config, operator)
    logging.basicConfig(level=_log_level(), format="%(levelname)s %(name)s %(message)s", stream=sys.stderr)
    from gingerspar.controller import Controller
    from gingerspar.coordination.membership.term import cancel_limit_problem

    problem = cancel_limit_problem(settings.facts)
    if problem is not None:
        logging.getLogger(__name__).error("%s", problem)  # the controller starts nevertheless

    async def main() -> None:
        await Controller(settings, operator_settings).run()

    # uvloop, an event loop in C: on a busy leader, the loop runs well over a thousand iterations a second.
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
    """Check settings files and report what is invalid."""
    settings, operator_settings = _load(config, operator)
    from gingerspar.coordination.membership.term import cancel_limit_problem

    problem = cancel_limit_problem(settings.facts)
    if problem is not None:
        _exit_with_error(config, BadSettings(problem))
    click.echo(f"{settings.node}: settings are fine")
    for name in operator_settings.__struct_fields__:
        click.echo(f"  {name}: {getattr(operator_settings, name)}")


_node = click.option("--node", required=True, metavar="HOST:PORT", help="A controller or the load balancer.")


def _send_request(node: str, method: str, path: str, body: bytes | None = None) -> None:
    """Sends a request to a node and prints the answer; status 1 if no answer came or the node refused."""
    from gingerspar.transport.client import Client, NoAnswer

    async def send() -> tuple[int, bytes]:
        client = Client(node)
        try:
            return await client.request(method, path, body, timeout=timedelta(seconds=5))
        finally:
            client.close()

    if not node.rpartition(":")[2].isdigit():
        raise click.BadParameter("expected HOST:PORT", param_hint="--node")
    try:
        status, answer = asyncio.run(send())
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
    _send_request(node, "POST", names.PATH_JOBS, job.read())


@main.command()
@_node
@click.argument("job")
def status(node: str, job: str) -> None:
    """Show the job's status."""
    _send_request(node, "GET", f"{names.PATH_JOBS}/{job}")


@main.command()
@_node
@click.argument("job")
def cancel(node: str, job: str) -> None:
    """Cancel the job."""
    _send_request(node, "POST", f"{names.PATH_JOBS}/{job}{names.PATH_ABORT}", b"")


if __name__ == "__main__":
    main()
