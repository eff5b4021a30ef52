#include "base/metric.h"

#include <inttypes.h>

struct metric_row {
	const char *name;
	const char *kind;
	const char *help;
};

static const struct metric_row rows[METRIC_COUNT] = {
#define DEF(id, name, kind, help) [id] = { name, kind, help },
	METRICS(DEF)
#undef DEF
};

static _Atomic uint64_t values[METRIC_COUNT];

void metric_add(enum metric_id id, uint64_t n)
{
	values[id] += n;
}

void metric_set(enum metric_id id, uint64_t value)
{
	values[id] = value;
}

uint64_t metric_get(enum metric_id id)
{
	return values[id];
}

const char *metric_name(enum metric_id id)
{
	return rows[id].name;
}

void metric_write(struct buf *out)
{
	uint32_t i;

	for (i = 0; i < METRIC_COUNT; i++) {
		buf_addf(out, "# HELP cowslippoint_%s %s\n", rows[i].name,
			 rows[i].help);
		buf_addf(out, "# TYPE cowslippoint_%s %s\n", rows[i].name,
			 rows[i].kind);
		buf_addf(out, "cowslippoint_%s %" PRIu64 "\n", rows[i].name,
			 metric_get(i));
	}
}
