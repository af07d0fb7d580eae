"""A failure domain of entries on an in-memory network."""

import random

from fuchsiacroft.config.settings import Addresses, Member, Settings
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.membership import service
from fuchsiacroft.membership.service import Membership
from fuchsiacroft.tests.fakes.bus import MemoryNetwork


def address_of(number: int, domain: int = 0) -> str:
    """Return the peer address of an entry."""
    return f"10.{domain}.{number // 250}.{number % 250 + 1}:7000"


def settings_of(
    number: int, seeds: int = 2, domain: int = 0, domains: int = 1
) -> Settings:
    """Return the settings of an entry that lists the seeds of each failure domain."""
    members = [
        Member(
            f"entry-{domain_number}-{i}",
            f"domain-{domain_number}",
            address_of(i, domain_number),
        )
        for domain_number in range(domains)
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
    """Starts and kills entries by number."""

    def __init__(self, seed: int = 0, seeds: int = 2) -> None:
        self.network = MemoryNetwork(seed)
        self.members: dict[int, Membership] = {}
        self.kernels: dict[int, Kernel] = {}
        self._seeds = seeds
        self._random = random.Random(seed)

    async def start(self, *numbers: int) -> None:
        """Start entries whose settings list the seeds."""
        for number in numbers:
            await self.start_one(number)

    async def start_one(self, number: int) -> Membership:
        """Start one entry; it may be a restart."""
        settings = settings_of(number, self._seeds)
        kernel = Kernel()
        kernel.add(self.network.bus(settings.node, address_of(number)))
        member = service.create(settings, random.Random(self._random.random()))
        kernel.add(member)
        for extra in self.services(number, member):
            kernel.add(extra)
        await kernel.start()
        self.members[number] = member
        self.kernels[number] = kernel
        return member

    def services(self, number: int, member: Membership) -> tuple:
        """Return additional services of an entry; subclasses override this."""
        return ()

    async def kill(self, number: int) -> None:
        """Stop an entry without letting it leave the membership."""
        del self.members[number]
        await self.kernels.pop(number).stop()

    async def stop(self) -> None:
        """Stop every entry."""
        for number in tuple(self.members):
            await self.kill(number)

    def alive_at(self, number: int) -> set[int]:
        """Return the numbers of the entries that an entry considers alive."""
        alive = self.members[number].alive()
        return {int(entry.node.rsplit("-", 1)[1]) for entry in alive}

    def agree_on(self, *numbers: int) -> bool:
        """Whether each of the given entries considers exactly these entries alive."""
        return all(self.alive_at(number) == set(numbers) for number in numbers)
