"""Compare the transcript of a whole session with a golden file.

The transcript holds no ids, addresses or times. ``UPDATE_GOLDEN=1`` rewrites
the golden file.
"""

import json
import os
from pathlib import Path

from script.tools.caller import Answer
from tests.support.session import MODEL, SessionTest, at_most_once, granted

_GOLDEN = Path(__file__).parent / 'golden' / 'day.txt'


def _format_answer(step: str, answer: Answer) -> str:
    error = {}
    if isinstance(answer.body, dict):
        error = answer.body.get('error', {})
    return (
        f'{step}: status={answer.status} code={answer.code} '
        f'whole={answer.complete} words={len(answer.words)} '
        f'ran={error.get("ran", "-")} '
        f'retry={"retry-after" in answer.headers}'
    )


class GoldenSession(SessionTest):
    """Requests, a preset change, a lost host and a planned stop."""

    async def test_day(self) -> None:
        names = await self.async_start(daemons=2, hosts=3, hosts_per_replica=2)
        await self.async_until_voters(names)
        lines = [f'entries: {len(await self._async_entries())}']
        lines.append(
            _format_answer('stream', await self.async_ask('e0', 'one'))
        )
        whole = await self.async_ask('e1', 'two', stream=False)
        lines.append(_format_answer('whole', whole))
        lines.extend(await self._async_duplicates())
        lines.extend(await self._async_invalid_requests())
        lines.extend(await self._async_preset_change())
        lines.extend(await self._async_lost_host())
        lines.extend(await self._async_planned_stop())
        text = '\n'.join([*lines, ''])
        if os.environ.get('UPDATE_GOLDEN'):
            _GOLDEN.write_text(text)
        self.assertEqual(text, _GOLDEN.read_text())

    async def _async_entries(self) -> list[str]:
        return await self.caller.async_entries(self.address('e0'))

    async def _async_duplicates(self) -> list[str]:
        lines = []
        for name, prompt in (('e0', 'a'), ('e1', 'a'), ('e1', 'b')):
            answer = await self.async_ask(
                name, prompt, headers=at_most_once('k')
            )
            if name == 'e1' and prompt == 'a':
                answer = await self.async_until_code(
                    lambda: self.async_ask(
                        'e1', 'a', headers=at_most_once('k')
                    ),
                    1001,
                )
            lines.append(_format_answer(f'once {name} {prompt}', answer))
        return lines

    async def _async_invalid_requests(self) -> list[str]:
        body = {'model': 'none', 'messages': [{'role': 'u', 'content': 'x'}]}
        lines = []
        for step, sent in (
            ('not JSON', b'{'),
            ('unknown service', json.dumps(body).encode()),
            ('no messages', json.dumps({'model': MODEL}).encode()),
        ):
            answer = await self.caller.async_call(
                self.address('e0'),
                'POST',
                '/v1/chat/completions',
                sent,
            )
            lines.append(_format_answer(step, answer))
        return lines

    async def _async_preset_change(self) -> list[str]:
        reply = await self.cluster.async_edit('e1', 'preset_in_force', 'none')
        lines = [f'preset none: {reply.body["error"]["code"]}']
        reply = await self.cluster.async_edit('e1', 'preset_in_force', 'night')
        lines.append(f'preset night: accepted={reply.body["accepted"]}')
        answer = await self.async_until_code(
            lambda: self.async_ask('e0', 'night'),
            2002,
        )
        lines.append(_format_answer('asked at night', answer))
        await self.cluster.async_edit('e0', 'preset_in_force', 'day')
        await self.async_until_serving('e0', 1)
        lines.append(
            _format_answer('by day', await self.async_ask('e0', 'day'))
        )
        return lines

    async def _async_lost_host(self) -> list[str]:
        lost = granted(await self.cluster.async_status('e0'))[0]
        self.cluster.processes[lost['hosts'][1]].kill()
        await self.cluster.async_wait_status(
            'e0',
            lambda status: any(
                each['incarnation'] > lost['incarnation']
                for each in granted(status)
            ),
            45,
        )
        answer = await self.async_ask('e0', 'after the loss')
        return [_format_answer('after a lost host', answer)]

    async def _async_planned_stop(self) -> list[str]:
        leaving = self.cluster.processes['e1']
        leaving.terminate()
        status = await leaving.async_wait(30)
        entries_left = len(await self._async_entries())
        answer = await self.async_ask('e0', 'last')
        return [
            f'stopped: exit={status} entries={entries_left}',
            _format_answer('last', answer),
        ]
