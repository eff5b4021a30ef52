#include "base/series.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>

#define ADD_ONE(bound_us) +1
#define BUCKET_COUNT (0 SERIES_BUCKETS(ADD_ONE))

struct series {
	char *name;
	/* The name with escapes, as the value of a label. */
	char *label_value;
	_Atomic uint64_t outcomes[SERIES_OUTCOME_COUNT];
	/* Observations by bucket, not cumulative; the last has no bound. */
	_Atomic uint64_t buckets[BUCKET_COUNT + 1];
	_Atomic uint64_t sum_us;
};

struct family {
	const char *label;
	const char *counter;
	const char *histogram;
	const char *help;
	/* Name to struct series. */
	GHashTable *series;
};

static const int64_t bounds_us[BUCKET_COUNT] = {
#define DEF(bound_us) bound_us,
	SERIES_BUCKETS(DEF)
#undef DEF
};

static const char *const outcome_names[SERIES_OUTCOME_COUNT] = {
#define DEF(id, name) name,
	SERIES_OUTCOMES(DEF)
#undef DEF
};

static struct family families[SERIES_FAMILY_COUNT] = {
#define DEF(id, label, counter, histogram, help) \
	[id] = { label, counter, histogram, help, NULL },
	SERIES_FAMILIES(DEF)
#undef DEF
};

/* Protects the tables of the families; the counters are atomic. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Escapes what would end the value of a label or its line. */
static char *escape_label(const char *name)
{
	struct buf out = { 0 };

	buf_add(&out, "", 0);
	for (; *name; name++) {
		if (*name == '\n')
			buf_add(&out, "\\n", 2);
		else if (*name == '"' || *name == '\\')
			buf_addf(&out, "\\%c", *name);
		else
			buf_add(&out, name, 1);
	}
	return out.data;
}

static struct series *find_or_add(struct family *f, const char *name)
{
	struct series *s;

	if (!f->series)
		f->series = g_hash_table_new(g_str_hash, g_str_equal);
	s = g_hash_table_lookup(f->series, name);
	if (!s && g_hash_table_size(f->series) >= SERIES_NAMES_MAX) {
		name = "other";
		s = g_hash_table_lookup(f->series, name);
	}
	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	s->name = util_strdup(name);
	s->label_value = escape_label(name);
	g_hash_table_insert(f->series, s->name, s);
	return s;
}

struct series *series_get(enum series_family family, const char *name)
{
	struct series *s;

	pthread_mutex_lock(&lock);
	s = find_or_add(&families[family], name);
	pthread_mutex_unlock(&lock);
	return s;
}

void series_observe(struct series *s, enum series_outcome outcome,
		    int64_t took_us)
{
	uint32_t i = 0;

	while (i < BUCKET_COUNT && took_us > bounds_us[i])
		i++;
	s->outcomes[outcome]++;
	s->buckets[i]++;
	s->sum_us += (uint64_t)util_max_i64(took_us, 0);
}

static void write_counters(const struct family *f, const struct series *s,
			   struct buf *out)
{
	uint32_t i;

	for (i = 0; i < SERIES_OUTCOME_COUNT; i++) {
		if (s->outcomes[i])
			buf_addf(out,
				 "cowslippoint_%s{%s=\"%s\",outcome=\"%s\"} "
				 "%" PRIu64 "\n",
				 f->counter, f->label, s->label_value,
				 outcome_names[i], s->outcomes[i]);
	}
}

static void write_histogram(const struct family *f, const struct series *s,
			    struct buf *out)
{
	uint64_t count = 0;
	uint32_t i;

	for (i = 0; i < BUCKET_COUNT; i++) {
		count += s->buckets[i];
		buf_addf(out,
			 "cowslippoint_%s_bucket{%s=\"%s\",le=\"%g\"} %" PRIu64
			 "\n",
			 f->histogram, f->label, s->label_value,
			 (double)bounds_us[i] / US_PER_S, count);
	}
	count += s->buckets[BUCKET_COUNT];
	buf_addf(out,
		 "cowslippoint_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
		 f->histogram, f->label, s->label_value, count);
	buf_addf(out, "cowslippoint_%s_sum{%s=\"%s\"} %g\n", f->histogram,
		 f->label, s->label_value, (double)s->sum_us / US_PER_S);
	buf_addf(out, "cowslippoint_%s_count{%s=\"%s\"} %" PRIu64 "\n",
		 f->histogram, f->label, s->label_value, count);
}

static void write_family(const struct family *f, struct buf *out)
{
	GHashTableIter it;
	gpointer value;

	if (!f->series)
		return;
	buf_addf(out, "# HELP cowslippoint_%s %s by outcome\n", f->counter,
		 f->help);
	buf_addf(out, "# TYPE cowslippoint_%s counter\n", f->counter);
	g_hash_table_iter_init(&it, f->series);
	while (g_hash_table_iter_next(&it, NULL, &value))
		write_counters(f, value, out);
	buf_addf(out, "# HELP cowslippoint_%s %s, time taken\n", f->histogram,
		 f->help);
	buf_addf(out, "# TYPE cowslippoint_%s histogram\n", f->histogram);
	g_hash_table_iter_init(&it, f->series);
	while (g_hash_table_iter_next(&it, NULL, &value))
		write_histogram(f, value, out);
}

void series_write(struct buf *out)
{
	uint32_t i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < SERIES_FAMILY_COUNT; i++)
		write_family(&families[i], out);
	pthread_mutex_unlock(&lock);
}
