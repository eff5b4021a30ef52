#include "controller/slo.h"

#include <string.h>

/*
 * Step of the windows. Their newest bucket is not full yet, so the fast window
 * is up to 3.3% too short.
 */
#define BUCKET_US (10LL * US_PER_S)
#define BUCKETS (SLO_SLOW_WINDOW_US / BUCKET_US)
#define FAST_BUCKETS (SLO_FAST_WINDOW_US / BUCKET_US)

struct slo_customer {
	char name[NAME_BYTES];
	/* Number of the newest bucket: its time divided by BUCKET_US. */
	int64_t newest;
	/* 1: the alarm was on at the last slo_each_alarm_change(). */
	uint32_t alarm;
	struct slo_counts buckets[BUCKETS];
};

struct slo {
	uint32_t count;
	struct slo_customer **customers;
};

struct slo *slo_new(void)
{
	return util_alloc(1, sizeof(struct slo));
}

void slo_free(struct slo *s)
{
	uint32_t i;

	if (!s)
		return;
	for (i = 0; i < s->count; i++)
		free(s->customers[i]);
	free(s->customers);
	free(s);
}

static struct slo_customer *find(const struct slo *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		if (strcmp(s->customers[i]->name, name) == 0)
			return s->customers[i];
	}
	return NULL;
}

static struct slo_customer *add_customer(struct slo *s, int64_t now_us,
					 const char *name)
{
	struct slo_customer *c = util_alloc(1, sizeof(*c));

	util_copy_str(c->name, sizeof(c->name), name);
	c->newest = now_us / BUCKET_US;
	s->customers =
		util_grow(s->customers, s->count + 1, sizeof(*s->customers));
	s->customers[s->count++] = c;
	return c;
}

/* Clears the buckets after the newest one, up to the one of @now_us. */
static void clear_old_buckets(struct slo_customer *c, int64_t now_us)
{
	int64_t bucket = now_us / BUCKET_US;
	int64_t clear = util_min_i64(bucket - c->newest, BUCKETS);

	for (; clear > 0; clear--)
		memset(&c->buckets[(bucket - clear + 1) % BUCKETS], 0,
		       sizeof(c->buckets[0]));
	c->newest = util_max_i64(c->newest, bucket);
}

void slo_add(struct slo *s, int64_t now_us,
	     const struct customer_counts *counts)
{
	struct slo_customer *c = find(s, counts->customer);
	struct slo_counts *b;

	if (!c)
		c = add_customer(s, now_us, counts->customer);
	clear_old_buckets(c, now_us);
	b = &c->buckets[c->newest % BUCKETS];
	b->good += counts->good;
#define DEF(field) b->field += counts->field;
	SLO_BAD_KINDS(DEF)
#undef DEF
}

/* Adds up the newest @buckets buckets. */
static void sum_buckets(const struct slo_customer *c, int64_t buckets,
			struct slo_counts *out)
{
	int64_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < buckets && i <= c->newest; i++) {
		const struct slo_counts *b =
			&c->buckets[(c->newest - i) % BUCKETS];

		out->good += b->good;
#define DEF(field) out->field += b->field;
		SLO_BAD_KINDS(DEF)
#undef DEF
	}
}

uint64_t slo_bad_count(const struct slo_counts *c)
{
	uint64_t bad = 0;

#define DEF(field) bad += c->field;
	SLO_BAD_KINDS(DEF)
#undef DEF
	return bad;
}

static uint64_t burn_milli(const struct slo_counts *c)
{
	uint64_t bad = slo_bad_count(c);
	uint64_t total = bad + c->good;

	if (total == 0)
		return 0;
	return bad * PERMILLE * 1000 / (total * SLO_ALLOWED_PERMILLE);
}

/* Name of the most frequent kind of bad answer, or "none". */
static const char *largest_kind(const struct slo_counts *c)
{
	const char *name = "none";
	uint64_t max_count = 0;

#define DEF(field)                    \
	if (c->field > max_count) {   \
		max_count = c->field; \
		name = #field;        \
	}
	SLO_BAD_KINDS(DEF)
#undef DEF
	return name;
}

void slo_evaluate(struct slo_report *out)
{
	out->fast_burn_milli = burn_milli(&out->fast);
	out->slow_burn_milli = burn_milli(&out->slow);
	out->budget_left_permille = 0;
	if (out->slow_burn_milli < 1000)
		out->budget_left_permille =
			(uint32_t)(1000 - out->slow_burn_milli);
	out->spent_by = largest_kind(&out->slow);
	out->alarm = out->fast_burn_milli >= SLO_ALARM_BURN_MILLI &&
		     out->slow_burn_milli >= SLO_ALARM_BURN_MILLI;
}

static void fill_report(struct slo_customer *c, int64_t now_us,
			struct slo_report *out)
{
	memset(out, 0, sizeof(*out));
	clear_old_buckets(c, now_us);
	util_copy_str(out->customer, sizeof(out->customer), c->name);
	sum_buckets(c, FAST_BUCKETS, &out->fast);
	sum_buckets(c, BUCKETS, &out->slow);
	slo_evaluate(out);
}

enum err_code slo_report(struct slo *s, int64_t now_us, const char *customer,
			 struct slo_report *out, struct err *err)
{
	struct slo_customer *c = find(s, customer);

	if (!c)
		return err_set(err, ERR_UNKNOWN_CUSTOMER,
			       "customer %s has no answers counted", customer);
	fill_report(c, now_us, out);
	return ERR_OK;
}

void slo_each(struct slo *s, int64_t now_us,
	      void (*fn)(void *ctx, const struct slo_report *r), void *ctx)
{
	struct slo_report r;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		fill_report(s->customers[i], now_us, &r);
		fn(ctx, &r);
	}
}

void slo_each_alarm_change(struct slo *s, int64_t now_us,
			   void (*fn)(void *ctx, const struct slo_report *r),
			   void *ctx)
{
	struct slo_report r;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		fill_report(s->customers[i], now_us, &r);
		if (r.alarm == s->customers[i]->alarm)
			continue;
		s->customers[i]->alarm = r.alarm;
		fn(ctx, &r);
	}
}
