"""The overview page: versions in force, entries, backend servers and queues."""

from aiohttp import web
from expression import Result

from fuchsiacroft import overview
from fuchsiacroft.config.settings import Settings
from fuchsiacroft.console.context import Context
from fuchsiacroft.control.api_messages import MemberStatus


class OverviewViews:
    """Shows the running system as reported by the entries in the settings."""

    def __init__(self, settings: Settings) -> None:
        self._entries = {
            member.node: member.operators
            for member in settings.entries
            if member.operators
        }

    async def show(self, context: Context) -> web.StreamResponse:
        """Show the overview page."""
        match await context.client.get_versions_in_force():
            case Result(tag="ok", ok=in_force):
                pass
            case Result(error=error):
                return context.failure(error)
        members = [
            (address, member if isinstance(member, MemberStatus) else None, member)
            for address, member in (await context.client.member_statuses()).items()
        ]
        seen = await overview.fetch_overview(context.client, self._entries)
        nodes = sorted(self._entries.keys() | in_force.in_force.keys())
        return context.render(
            "overview.html",
            newest=in_force.version,
            versions=[(node, in_force.in_force.get(node)) for node in nodes],
            members=members,
            seen=seen,
        )
