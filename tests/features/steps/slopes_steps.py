"""Steps for the slope measurements."""

from behave import given, then, when

from tests.bench import slope_configuration, slope_wire
from tests.bench.slope_fit import Line, SlopeRow, table

TOLERANCE = 1e-9
SMALL_KEYS = (10, 20, 40)


@given("slope points that cost 3 us per item plus 7 us at sizes 1, 10 and 100")
def slope_points(context):
    context.points = [(size, 3.0 * size + 7.0) for size in (1, 10, 100)]


@when("a slope line is fitted to the points")
def fit_slope_line(context):
    context.line = Line(context.points)


@then("the fitted slope is 3 with 7 at size 0 and no residual")
def fitted_slope(context):
    # Guards against a fit that mixes up the axes or drops the intercept.
    assert abs(context.line.slope - 3.0) < TOLERANCE
    assert abs(context.line.intercept - 7.0) < TOLERANCE
    assert context.line.residual_ratio < TOLERANCE


@when('the slope measurements "control frames" and "exchange" are made at small sizes')
def small_measurements(context):
    points = [(n, slope_configuration.exchange_bytes(n)) for n in SMALL_KEYS]
    context.rows = slope_wire.control_frames()
    context.rows.append(SlopeRow("exchange", "B", "key", points))


@then("the slope table has a line with a unit for each of them")
def slope_table(context):
    # Guards against measurements that fail once the code they call has changed.
    lines = table(context.rows).splitlines()
    assert len(lines) == len(context.rows) + 1, lines
    assert "B per key" in lines[-1], lines[-1]
