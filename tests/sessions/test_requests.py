"""Requests end with a whole answer, run once, or a clear error."""

import asyncio
import json
import socket

from script.tools.cluster import DaemonOptions
from tests.support.session import MODEL, SessionTest, at_most_once

_MS = 1000


class StreamTest(SessionTest):
    """Streams that break, stall or lose their caller."""

    def _host_and_port(self) -> tuple[str, int]:
        host, port = self.address('e0').split(':')
        return host, int(port)

    async def _async_open(
        self, sock: socket.socket, prompt: str, tokens: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Request a completion over a connection that the test controls.

        The client library keeps the connection of a cancelled call open.
        """
        body = json.dumps(
            {
                'model': MODEL,
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': tokens,
                'stream': True,
            },
        ).encode()
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(
            b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
            b'authorization: Bearer north-key\r\n'
            b'content-length: %d\r\n\r\n%b' % (len(body), body),
        )
        return reader, writer

    async def test_broken_streams_resume(self) -> None:
        await self.async_start()
        for fault in ('cut_after', 'silent_after'):
            with self.subTest(fault=fault):
                await self.cluster.async_call_admin(
                    'h0',
                    '/admin/faults',
                    {'cut_after': -1, 'silent_after': -1, fault: 5},
                )
                answer = await self.async_ask('e0', f'resume {fault}', 20)
                self.assertTrue(answer.complete, answer)
        runs = await self.async_runs()
        self.assertEqual(len(runs), 2)

    async def test_stream_that_sends_bytes_but_no_events_is_ended(
        self,
    ) -> None:
        await self.async_start(options=DaemonOptions(stream_idle_s=1))
        await self.cluster.async_call_admin(
            'h0', '/admin/faults', {'trickle_after': 5, 'ignore_resume': True}
        )
        async with asyncio.timeout(60):
            answer = await self.async_ask('e0', 'trickles', 20)
        self.assertFalse(answer.complete)
        self.assertEqual(answer.code, 3001)
        self.assertEqual(len(answer.words), 5)

    async def test_lost_stream_never_looks_whole(self) -> None:
        await self.async_start()
        await self.cluster.async_call_admin(
            'h0',
            '/admin/faults',
            {'cut_after': 5, 'ignore_resume': True},
        )
        answer = await self.async_ask('e0', 'lost', 20)
        self.assertFalse(answer.complete)
        self.assertEqual(answer.code, 3000)
        self.assertEqual(answer.body['ran'], 'unknown')
        self.assertEqual(len(answer.words), 5)

    async def test_answers_do_not_mix(self) -> None:
        await self.async_start(daemons=2, hosts=2, replicas=2)
        answers = await asyncio.gather(
            *(
                self.async_ask(f'e{number % 2}', f'own {number}', 30)
                for number in range(40)
            ),
        )
        self.assertTrue(all(answer.complete for answer in answers))

    async def test_caller_that_leaves_frees_the_engine(self) -> None:
        await self.async_start()
        sock = socket.create_connection(self._host_and_port())
        _, writer = await self._async_open(sock, 'leaves', 2000)
        await self.async_until_runs(bool, 'the request runs')
        writer.transport.abort()
        other_request = asyncio.create_task(self.async_ask('e0', 'stays', 100))
        runs = await self.async_until_runs(
            lambda seen: seen[0]['cancelled'], 'its run is cancelled'
        )
        self.assertLess(runs[0]['events'], 2000)
        self.assertTrue((await other_request).complete)

    async def test_caller_that_stops_reading_is_disconnected(self) -> None:
        options = DaemonOptions(caller_stall_s=1)
        await self.async_start(
            options=options,
            engine_options=('--token-s', '0.0001'),
        )
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(self._host_and_port())
        reader, writer = await self._async_open(sock, 'x' * 60000, 200000)
        await reader.readexactly(100)
        reader._transport.pause_reading()  # noqa: SLF001
        runs = await self.async_runs()
        for _ in range(400):
            if runs and runs[0]['cancelled']:
                break
            await asyncio.sleep(0.1)
            runs = await self.async_runs()
        writer.transport.abort()
        self.assertTrue(runs[0]['cancelled'])


class AtMostOnceTest(SessionTest):
    """Requests that are marked to run at most once."""

    async def test_concurrent_duplicates(self) -> None:
        await self.async_start(daemons=2)
        answers = await asyncio.gather(
            *(
                self.async_ask(
                    f'e{n % 2}', 'screen', 20, headers=at_most_once('k')
                )
                for n in range(8)
            ),
        )
        whole = [answer for answer in answers if answer.complete]
        running = [answer for answer in answers if answer.code == 4004]
        self.assertEqual(len(whole), 1)
        self.assertEqual(len(running), 7)
        self.assertIn('retry-after', running[0].headers)
        runs = await self.async_runs()
        self.assertEqual(len(runs), 1)

        async def async_again():  # type: ignore[no-untyped-def]
            return await self.async_ask(
                'e1', 'screen', 20, headers=at_most_once('k')
            )

        again = await self.async_until_code(async_again, 1001)
        self.assertTrue(again.complete)
        other = await self.async_ask(
            'e0', 'else', 20, headers=at_most_once('k')
        )
        self.assertEqual(other.code, 4005)
        self.assertEqual(len(await self.async_runs()), 1)

    async def test_killed_daemon_leaves_an_honest_row(self) -> None:
        await self.async_start(daemons=2)
        task = asyncio.create_task(
            self.async_ask('e0', 'killed', 300, headers=at_most_once('k')),
        )
        await self.async_until_runs(bool, 'the request runs')
        self.cluster.processes['e0'].kill()
        await task

        async def async_again():  # type: ignore[no-untyped-def]
            return await self.async_ask(
                'e1', 'killed', 300, headers=at_most_once('k')
            )

        answer = await self.async_until_code(async_again, 3003)
        self.assertEqual(answer.body['error']['ran'], 'unknown')
        self.assertEqual(len(await self.async_runs()), 1)

    async def test_store_down_refuses_only_these(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        await self.async_set_table(down=True)
        answer = await self.async_ask(
            'e0', 'once', 8, headers=at_most_once('k')
        )
        self.assertEqual(answer.code, 2005)
        self.assertEqual(answer.body['error']['ran'], 'not_by_this_attempt')
        self.assertIn('retry-after', answer.headers)
        self.assertTrue((await self.async_ask('e0', 'other', 8)).complete)
        await self.async_set_table(down=False)
        answer = await self.async_ask(
            'e0', 'once', 8, headers=at_most_once('k')
        )
        self.assertTrue(answer.complete)

    async def test_lost_store_answer(self) -> None:
        await self.async_start()
        await self.cluster.async_call_admin(
            'platform',
            '/admin/faults',
            {'lose_answers': 1, 'lose_prefix': 'ledger/'},
        )
        answer = await self.async_ask(
            'e0', 'lost', 8, headers=at_most_once('k')
        )
        self.assertTrue(answer.complete)
        self.assertEqual(len(await self.async_runs()), 1)

    async def test_plain_service(self) -> None:
        await self.async_start(daemons=2)
        answers = await asyncio.gather(
            *(
                self.caller.async_call(
                    self.address(f'e{number % 2}'),
                    'POST',
                    '/v1/services/portal/letters',
                    b'{"letter": 1}',
                    at_most_once('letter-1'),
                )
                for number in range(6)
            ),
        )
        runs = await self.cluster.async_call_admin('portal', '/admin/runs', {})
        self.assertEqual(runs['letter-1'], 1)
        await self._async_check_methods_and_paths()
        self.assertTrue(any(answer.code == 1000 for answer in answers))

    async def _async_check_methods_and_paths(self) -> None:
        address = self.address('e0')
        split = '/v1/services/portal/a%0d%0ax:%20y'
        answer = await self.caller.async_call(address, 'GET', split)
        self.assertEqual(answer.code, 4009)
        path = '/v1/services/portal/a%20b%2Fc?c=1'
        answer = await self.caller.async_call(address, 'GET', path)
        self.assertEqual(answer.code, 1000, answer)
        self.assertEqual(answer.body['path'], '/a b/c')
        self.assertEqual(answer.body['query'], 'c=1')
        head = await self.caller.async_call(address, 'HEAD', path)
        self.assertEqual(head.status, 200)
        self.assertEqual(head.code, 1000)


class RefusalTest(SessionTest):
    """Invalid requests get a result code and disturb no other request."""

    async def test_result_codes_of_invalid_requests(self) -> None:
        await self.async_start()
        other_request = asyncio.create_task(self.async_ask('e0', 'calm', 150))
        address = self.address('e0')
        path = '/v1/chat/completions'
        good = {'model': MODEL, 'messages': [{'role': 'u', 'content': 'x'}]}
        cases = (
            (b'{', {}, 4000),
            (b'[]', {}, 4000),
            (json.dumps({**good, 'messages': [3]}).encode(), {}, 4000),
            (json.dumps({**good, 'model': 'none'}).encode(), {}, 4003),
            (json.dumps(good).encode(), {'x-deadline-s': 'soon'}, 4006),
            (json.dumps(good).encode(), {'x-request-class': 'vip'}, 4006),
            (json.dumps(good).encode(), {'x-at-most-once': 'true'}, 4007),
            (json.dumps(good).encode(), {'authorization': 'Bearer no'}, 4002),
            (json.dumps(good).encode(), {'x-flood': 'x' * 40000}, 4006),
            (b'x' * 5000000, {}, 4001),
        )
        for body, headers, code in cases:
            with self.subTest(code=code, headers=list(headers)):
                answer = await self.caller.async_call(
                    address,
                    'POST',
                    path,
                    body,
                    headers,
                )
                self.assertEqual(answer.code, code, answer)
        answer = await self.caller.async_call(
            address,
            'GET',
            '/v1/services/none/x',
        )
        self.assertEqual(answer.code, 4003)
        self.assertTrue((await other_request).complete)

    async def test_refused_engine_is_not_run(self) -> None:
        await self.async_start()
        await self.cluster.async_call_admin(
            'h0', '/admin/faults', {'refuse': True}
        )
        answer = await self.async_ask('e0', 'refused', 8)
        self.assertEqual(answer.body['error']['ran'], 'no')
        self.assertEqual(answer.code, 2008)
        self.assertEqual(await self.async_runs(), [])
