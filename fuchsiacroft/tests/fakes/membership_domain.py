"""A failure domain of entries on a network in memory."""

import random

from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import service
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.tests.fakes.bus import MemoryNetwork


def address_of(number: int, domain: int = 0) -> str:
    """Return the peers address of an entry."""
    return f"10.{domain}.{number // 250}.{number % 250 + 1}:7000"


def settings_of(
    number: int, seeds: int = 2, domain: int = 0, domains: int = 1
) -> Settings:
    """Return the settings of an entry that knows a few seeds of each domain."""
    members = [
        Member(f"entry-{where}-{i}", f"domain-{where}", address_of(i, where))
        for where in range(domains)
        for i in range(seeds)
    ]
    return Settings(
        node=f"entry-{domain}-{number}",
        failure_domain=f"domain-{domain}",
        region="region",
        addresses=Addresses("10.0.0.1:1", peers=address_of(number, domain)),
        entries=members,
    )


class MembershipDomain:
    """Starts, kills and stops entries by number."""

    def __init__(self, seed: int = 0, seeds: int = 2) -> None:
        self.network = MemoryNetwork(seed)
        self.members: dict[int, Membership] = {}
        self.kernels: dict[int, Kernel] = {}
        self._seeds = seeds
        self._random = random.Random(seed)

    async def start(self, *numbers: int) -> None:
        """Start entries that know the seeds."""
        for number in numbers:
            await self.start_one(number)

    async def start_one(self, number: int) -> Membership:
        """Start one entry, which may have run before."""
        cfg = settings_of(number, self._seeds)
        kernel = Kernel()
        kernel.add(self.network.bus(cfg.node, address_of(number)))
        member = service.create(cfg, random.Random(self._random.random()))
        kernel.add(member)
        for extra in self.services(number, member):
            kernel.add(extra)
        await kernel.start()
        self.members[number] = member
        self.kernels[number] = kernel
        return member

    def services(self, number: int, member: Membership) -> tuple:
        """Return further services of an entry."""
        return ()

    async def kill(self, number: int) -> None:
        """End an entry without a word."""
        del self.members[number]
        await self.kernels.pop(number).stop()

    async def stop(self) -> None:
        """End every entry."""
        for number in tuple(self.members):
            await self.kill(number)

    def alive_at(self, number: int) -> set[int]:
        """Return the numbers of the entries that one of them sees alive."""
        alive = self.members[number].alive()
        return {int(entry.node.rsplit("-", 1)[1]) for entry in alive}

    def agree_on(self, *numbers: int) -> bool:
        """Tell whether each of them sees just them."""
        return all(self.alive_at(number) == set(numbers) for number in numbers)
