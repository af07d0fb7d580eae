"""Tests of the console's pages and forms, without JavaScript."""

import re

import aiohttp
import msgspec

from fuchsiacroft import operators_client
from fuchsiacroft.config.document import hash_key
from fuchsiacroft.config.settings import Addresses, Settings
from fuchsiacroft.console import app
from fuchsiacroft.console.sessions import SESSION_COOKIE
from fuchsiacroft.kernel import Kernel
from fuchsiacroft.operators_client import Change
from fuchsiacroft.tests.base import SocketTestCase
from fuchsiacroft.tests.fakes.cluster import sample_document
from fuchsiacroft.tests.fakes.control_thread import TOKEN, ControlThread
from fuchsiacroft.tests.fakes.ports import free_addresses

HIDDEN = re.compile(r'name="(csrf|held|change_id|item|key_hash)" value="([^"]*)"')


class ConsoleTests(SocketTestCase):
    """Uses the console with the operators' API of one control member."""

    async def asyncSetUp(self):
        self.control = ControlThread()
        self.control.start()
        self.addCleanup(self.control.stop)
        operators, console = free_addresses(2)
        settings = Settings(
            node="console-1",
            failure_domain="mvd-cordon",
            region="mvd",
            addresses=Addresses(operators=operators, console=console),
            control=self.control.settings.control,
        )
        service = app.create(settings)
        await service.start(Kernel())
        self.addAsyncCleanup(service.stop)
        self.session = self.browser(console)
        self.addAsyncCleanup(self.session.close)
        self.client = operators_client.create([self.control.operators], TOKEN)
        await self.client.__aenter__()
        self.addAsyncCleanup(self.client.__aexit__)
        await self.apply(sample_document(), 0)
        await self.log_in()

    @staticmethod
    def browser(address):
        jar = aiohttp.CookieJar(unsafe=True)
        return aiohttp.ClientSession(f"http://{address}", cookie_jar=jar)

    async def apply(self, document, base_version, operator="beat"):
        data = msgspec.json.encode(document)
        change = Change(data, base_version, f"other-{base_version}", operator)
        self.assertTrue((await self.client.submit_change(change)).is_ok())

    async def log_in(self, token=TOKEN):
        return await self.post("/login", {"operator": "ana", "token": token})

    async def get(self, path):
        async with self.session.get(path) as res:
            return res.status, await res.text()

    async def post(self, path, form, **headers):
        async with self.session.post(path, data=form, headers=headers) as res:
            return res.status, await res.text()

    async def form(self, path, **values):
        """Return what a browser would send for the first form in `main`."""
        _, text = await self.get(path)
        main = text.partition("<main")[2]
        first = main.partition("<form")[2].partition("</form>")[0]
        return dict(HIDDEN.findall(first)) | values

    async def tier_form(self, **values):
        form = await self.form("/tiers/edit?item=desk")
        return form | {"name": "desk", "rank": "1", "timeout_s": "60"} | values

    async def document(self):
        answer = (await self.client.get_document()).ok
        return answer.version, msgspec.to_builtins(answer.document)

    async def test_pages_need_a_session_and_a_valid_token(self):
        self.session.cookie_jar.clear()
        for path in ("/", "/tiers", "/tiers/edit", "/history"):
            async with self.session.get(path, allow_redirects=False) as res:
                self.assertEqual((303, "/login"), (res.status, res.headers["Location"]))
        status, text = await self.log_in("wrong")
        self.assertEqual(403, status)
        self.assertIn('<a href="#field-token">This token is not accepted.</a>', text)
        self.assertNotIn("wrong", text)

    async def test_the_cookie_and_the_headers_protect_the_session(self):
        self.session.cookie_jar.clear()
        form = {"operator": "ana", "token": TOKEN}
        async with self.session.post("/login", data=form, allow_redirects=False) as res:
            cookie = res.headers["Set-Cookie"]
            policy = res.headers["Content-Security-Policy"]
        self.assertIn("HttpOnly", cookie)
        self.assertIn("SameSite=Strict", cookie)
        self.assertNotIn(TOKEN, cookie)
        self.assertIn("default-src 'none'", policy)
        self.assertIn("frame-ancestors 'none'", policy)

    async def test_a_form_without_the_csrf_token_is_refused(self):
        for csrf in ("", "0" * 64):
            form = await self.tier_form(csrf=csrf, timeout_s="50")
            status, _ = await self.post("/tiers/edit", form)
            self.assertEqual(403, status)
        self.assertEqual(1, (await self.document())[0])

    async def test_a_form_from_another_site_is_refused(self):
        form = await self.tier_form(timeout_s="50")
        status, _ = await self.post(
            "/tiers/edit", form, Origin="http://elsewhere.example"
        )
        self.assertEqual(403, status)
        self.assertEqual(1, (await self.document())[0])

    async def test_an_applied_form_is_in_the_document_and_the_history(self):
        form = await self.tier_form(timeout_s="45.5")
        status, text = await self.post("/tiers/edit", form)
        self.assertEqual(200, status)
        self.assertIn("Accepted as version 2", text)
        _, document = await self.document()
        self.assertEqual(45.5, document["tiers"][1]["timeout_s"])
        _, text = await self.get("/history")
        self.assertRegex(text, r"(?s)<td>ana</td>\s*<td>tiers</td>")

    async def test_a_resent_form_is_explained_and_changes_nothing(self):
        form = await self.tier_form(timeout_s="45")
        await self.post("/tiers/edit", form)
        status, text = await self.post("/tiers/edit", form)
        self.assertEqual(200, status)
        self.assertIn("This change was accepted before, as version 2", text)
        self.assertEqual(2, (await self.document())[0])

    async def test_a_conflicting_form_shows_the_other_change_and_can_be_applied(self):
        form = await self.tier_form(timeout_s="45")
        other = sample_document()
        other["services"][0]["replicas"] = 9
        await self.apply(other, 1)
        status, text = await self.post("/tiers/edit", form)
        self.assertEqual(409, status)
        self.assertIn("beat put version 2 in force", text)
        self.assertIn("lens-assistant&#34; changed (replicas)", text)
        self.assertIn("The other change is to something else", text)
        self.assertIn('value="45"', text)
        main = text.partition("<main")[2]
        again = form | dict(HIDDEN.findall(main))
        status, text = await self.post("/tiers/edit", again)
        self.assertIn("Accepted as version 3", text)
        _, document = await self.document()
        self.assertEqual(45, document["tiers"][1]["timeout_s"])
        replicas = {spec["name"]: spec["replicas"] for spec in document["services"]}
        self.assertEqual({"lens-assistant": 9, "counter": 0}, replicas)

    async def test_a_conflict_on_the_same_item_is_reported(self):
        form = await self.tier_form(timeout_s="45")
        other = sample_document()
        other["tiers"][1]["timeout_s"] = 50
        await self.apply(other, 1)
        _, text = await self.post("/tiers/edit", form)
        self.assertIn("The other change is to this same tier.", text)

    async def test_conflicting_rule_changes_cannot_be_applied_directly(self):
        form = await self.form("/rules/edit?item=1", service="counter", position="1")
        other = sample_document()
        rule = {"service": "lens-assistant", "idempotent": False}
        other["rules"].insert(0, rule)
        await self.apply(other, 1)
        status, text = await self.post("/rules/edit", form | {"path_prefix": "/x"})
        self.assertEqual(409, status)
        self.assertIn("positions may have moved", text)
        self.assertNotIn('value="apply"', text)

    async def test_faults_are_linked_to_their_fields(self):
        form = await self.tier_form(rank="urgent", timeout_s="-1", action="check")
        status, text = await self.post("/tiers/edit", form)
        self.assertEqual(422, status)
        self.assertIn('<a href="#field-rank">Rank: ', text)
        self.assertIn('<a href="#field-timeout_s">Timeout (seconds): ', text)
        self.assertRegex(text, r'id="field-rank"[^>]* error-rank" aria-invalid="true"')
        self.assertIn('value="urgent"', text)

    async def test_a_checked_draft_changes_nothing(self):
        form = await self.tier_form(timeout_s="45", action="check")
        _, text = await self.post("/tiers/edit", form)
        self.assertIn("The draft has no faults. It is not in force yet.", text)
        self.assertEqual(1, (await self.document())[0])

    async def test_a_check_of_a_draft_hides_what_it_does_to_callers(self):
        form = await self.tier_form(timeout_s="45", action="check")
        _, text = await self.post("/tiers/edit", form)
        self.assertIn("What this change does", text)
        self.assertIn("45 s instead of 60 s", text)

    async def test_a_removal_is_confirmed_without_what_it_does_to_callers(self):
        _, text = await self.get("/workspaces/remove?item=shop-4")
        self.assertIn("What this change does", text)
        self.assertIn("its 1 keys get 401", text)

    async def test_a_draft_with_a_new_warning_is_applied_unseen(self):
        _, document = await self.document()
        other_rank = document["tiers"][0]["rank"]
        form = await self.tier_form(rank=str(other_rank), action="apply")
        _, text = await self.post("/tiers/edit", form)
        self.assertIn("The draft has new warnings", text)
        self.assertEqual(1, (await self.document())[0])
        self.assertIn('value="apply_warned"', text)
        seen = dict(HIDDEN.findall(text.partition("<main")[2]))
        form |= seen | {"action": "apply_warned"}
        _, text = await self.post("/tiers/edit", form)
        self.assertIn("Accepted as version 2", text)

    async def test_a_workspace_that_has_no_key_yet_is_added_with_a_warning(self):
        form = await self.form("/workspaces/edit")
        form |= {"name": "new", "tier": "batch", "share": "1", "retries_per_s": "10"}
        _, text = await self.post("/workspaces/edit", form | {"action": "apply"})
        self.assertIn("Accepted as version 2", text)

    async def test_an_item_in_use_cannot_be_removed(self):
        form = await self.form("/tiers/remove?item=desk")
        status, text = await self.post("/tiers/remove", form)
        self.assertEqual(422, status)
        self.assertIn("&#34;desk&#34; is not known", text)
        form = await self.form("/workspaces/remove?item=shop-4")
        _, text = await self.post("/workspaces/remove", form)
        self.assertIn("Accepted as version 2", text)

    async def test_a_key_is_shown_once_and_stored_hashed(self):
        form = await self.form("/workspaces/edit?item=shop-1")
        form["change_id"] += "-key"
        _, text = await self.post("/workspaces/keys/new", form)
        (key,) = re.findall(r'readonly value="([^"]+)"', text)
        _, document = await self.document()
        hashes = document["workspaces"][1]["key_hashes"]
        self.assertEqual([hash_key("key-1"), hash_key(key)], hashes)
        _, text = await self.post("/workspaces/keys/new", form)
        self.assertIn("created a key before, in version 2", text)
        self.assertNotIn("readonly", text)
        self.assertEqual(2, (await self.document())[0])

    async def test_a_key_can_be_removed(self):
        form = await self.form("/workspaces/edit?item=shop-1")
        form["key_hash"] = hash_key("key-1")
        await self.post("/workspaces/keys/remove", form)
        _, document = await self.document()
        self.assertEqual([], document["workspaces"][1]["key_hashes"])

    async def test_editing_a_workspace_keeps_its_keys(self):
        form = await self.form("/workspaces/edit?item=shop-1")
        form |= {"name": "shop-1", "tier": "batch", "highest_tier": ""}
        form |= {"share": "2", "retries_per_s": "10"}
        await self.post("/workspaces/edit", form)
        _, document = await self.document()
        workspace = document["workspaces"][1]
        self.assertEqual([hash_key("key-1")], workspace["key_hashes"])
        self.assertEqual(
            ("batch", None), (workspace["tier"], workspace["highest_tier"])
        )

    async def test_an_older_version_can_be_put_in_force_again(self):
        other = sample_document()
        del other["workspaces"][0]
        await self.apply(other, 1)
        _, text = await self.get("/history/1")
        self.assertIn("shop-0&#34; added", text)
        _, text = await self.post("/history/1", await self.form("/history/1"))
        self.assertIn("Accepted as version 3", text)
        _, document = await self.document()
        self.assertEqual(5, len(document["workspaces"]))

    async def test_text_is_escaped(self):
        form = await self.tier_form(name="<script>alert(1)</script>", action="check")
        _, text = await self.post("/tiers/edit", form)
        self.assertNotIn("<script", text)
        self.assertIn("&lt;script&gt;", text)

    async def test_the_overview_shows_versions_and_members(self):
        status, text = await self.get("/")
        self.assertEqual(200, status)
        self.assertIn("The newest version of the document is <strong>1</strong>", text)
        self.assertIn("control-1", text)
        self.assertIn("leader", text)

    async def test_logging_out_ends_the_session(self):
        form = dict(HIDDEN.findall((await self.get("/"))[1]))
        await self.post("/logout", form)
        names = {cookie.key for cookie in self.session.cookie_jar}
        self.assertNotIn(SESSION_COOKIE, names)

    async def test_the_page_reports_unreachable_control_members(self):
        self.control.stop()
        status, text = await self.get("/")
        self.assertEqual(503, status)
        self.assertIn("No control member answers", text)
