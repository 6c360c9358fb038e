"""Plot the measured points and linear fits that CAPACITY.md extrapolates.

``script/bench --plots`` reads ``docs/raw`` and writes ``docs/plots``.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import pygal
from pygal.style import CleanStyle

from script.tools.benches.slopes import fit

__all__ = ('Series', 'load_series', 'write_plots')

_DOCS = Path(__file__).parents[2] / 'docs'
_WIDTH = 640
_HEIGHT = 360
_DESIGN_DAEMONS = 380
_TITLES_BY_DAEMONS = {
    'core_share_mean': 'core share of a daemon',
    'memory_mb_mean': 'MB of a daemon',
    'peers_bytes_per_s_each': 'bytes a second to peers, pulled',
    'platform_bytes_per_s_all': 'bytes a second to the platform, all daemons',
    'store_reads_per_s': 'store reads a second, all daemons',
    'store_writes_per_s': 'store writes a second, all daemons',
}
_SLOPES = {
    'memory_mb_by_streams': ('streams', 'MB of a daemon'),
    'cpu_s_by_requests': ('requests', 'seconds of processor time'),
    'plan_s_by_replicas': ('replicas', 'seconds for a plan'),
}


@attrs.frozen
class Series:
    """Measured points of one quantity.

    Attributes
    ----------
    extrapolated_to
        Abscissa at which the line ends.
    """

    name: str
    abscissa: str
    title: str
    points: Sequence[tuple[float, float]]
    extrapolated_to: float

    def fit(self) -> dict[str, float]:
        """Return slope, intercept and error of the fitted line."""
        return fit(self.points)

    def value_at(self, x: float) -> float:
        """Return the value of the fitted line at an abscissa."""
        line = self.fit()
        return line['intercept'] + line['slope'] * x


def load_series(raw: Path) -> list[Series]:
    """Return the series of the raw results in a folder."""
    daemons = _read(raw, 'membership')['daemons']
    for count, each in daemons.items():
        sent = each['platform_bytes_per_s_each'] * int(count)
        each['platform_bytes_per_s_all'] = sent
    by_daemons = [
        Series(
            name,
            'daemons',
            title,
            [(float(count), each[name]) for count, each in daemons.items()],
            _DESIGN_DAEMONS,
        )
        for name, title in _TITLES_BY_DAEMONS.items()
    ]
    slopes = _read(raw, 'slopes')
    by_slopes = []
    for name, (abscissa, title) in _SLOPES.items():
        points = [(x, y) for x, y in slopes[name]['points']]
        largest = max(x for x, _ in points)
        by_slopes.append(Series(name, abscissa, title, points, largest))
    return by_daemons + by_slopes


def write_plots() -> None:
    """Draw each series and print its fit."""
    target = _DOCS / 'plots'
    target.mkdir(exist_ok=True)
    for series in load_series(_DOCS / 'raw'):
        chart = _chart(series)
        (target / f'{series.name}.svg').write_text(chart.render())
        line = series.fit()
        extrapolated = round(series.value_at(series.extrapolated_to), 4)
        print(
            f'{series.name}: {line}, '
            f'at {series.extrapolated_to:g}: {extrapolated}',
        )


def _chart(series: Series) -> pygal.XY:
    chart = pygal.XY(
        width=_WIDTH,
        height=_HEIGHT,
        style=CleanStyle,
        js=(),
        no_prefix=True,
        disable_xml_declaration=True,
        x_title=series.abscissa,
        title=series.title,
        legend_at_bottom=True,
        include_x_axis=True,
    )
    chart.add('measured', list(series.points), stroke=False)
    ends = (0.0, series.extrapolated_to)
    chart.add('fit', [(x, series.value_at(x)) for x in ends])
    return chart


def _read(raw: Path, name: str) -> Any:
    return json.loads((raw / f'{name}.json').read_text())
