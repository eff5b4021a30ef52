/* Sends the samples at their times and computes the results. */
#include <string.h>

#include "base/clock.h"
#include "bench.h"
#include "http_client.h"
#include "proc.h"
#include "setup.h"

/* Leaves time to set up the timers before the first request is due. */
#define START_DELAY_US (20 * US_PER_MS)
/* Time between two checks for a signal. */
#define STEP_US (200 * US_PER_MS)
/* How long after the measured time the run waits for replies. */
#define END_WAIT_US ((int64_t)(ANSWER_MS + LOST_AFTER_MS) * US_PER_MS * 2)

/* Timer of the next sample. */
struct arrival {
	struct run *run;
	struct timer_entry timer;
};

static void send_due(void *ctx, int64_t now_us)
{
	struct arrival *a = ctx;
	struct run *r = a->run;

	while (r->next < r->all.count &&
	       r->start_us + r->all.items[r->next].at_us <= now_us) {
		struct sample *s = &r->all.items[r->next++];

		r->submit(r->submit_ctx, r, s);
	}
	if (r->next < r->all.count)
		timer_queue_arm(http_client_timers(r->client), &a->timer,
				r->start_us + r->all.items[r->next].at_us,
				send_due, a);
}

static void on_event(void *ctx, int64_t now_us)
{
	struct run *r = ctx;

	bench_setup_event(r->stage, r->scenario->event);
}

void run_ended(struct run *r, struct sample *s, int64_t now_us)
{
	s->end_us = now_us - r->start_us;
	if (++r->ended == r->all.count)
		r->running = 0;
}

void run_load(struct run *r)
{
	struct arrival a = { .run = r };
	struct timer_entry event = { 0 };
	int64_t last_us;

	r->start_us = clock_now_us() + START_DELAY_US;
	r->running = r->all.count > 0;
	last_us = r->start_us + WARM_UP_US + MEASURED_US + END_WAIT_US;
	timer_queue_arm(http_client_timers(r->client), &a.timer, r->start_us,
			send_due, &a);
	if (r->scenario->event != EVENT_NONE)
		timer_queue_arm(http_client_timers(r->client), &event,
				r->start_us + WARM_UP_US + MEASURED_US / 2,
				on_event, r);
	while (r->running && !proc_interrupted() && clock_now_us() < last_us)
		http_client_run(r->client, &r->running,
				clock_now_us() + STEP_US);
	timer_queue_cancel(http_client_timers(r->client), &a.timer);
	timer_queue_cancel(http_client_timers(r->client), &event);
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const int64_t *sorted_us, uint32_t count, double q)
{
	uint32_t at = (uint32_t)(q * count);

	if (count == 0)
		return 0;
	return (double)sorted_us[util_min_u32(at, count - 1)] / US_PER_MS;
}

static void count_refusal(struct result *out, enum err_code code)
{
	uint32_t i;

	out->refused++;
	for (i = 0; i < out->refusal_kinds; i++) {
		if (out->refusals[i].code == code) {
			out->refusals[i].count++;
			return;
		}
	}
	if (i == REFUSAL_CODES_MAX)
		return;
	out->refusals[out->refusal_kinds++] = (struct refusal_count){ code, 1 };
}

/* 1 if the shards of a request with this code were asked; lost: ERR_OK. */
static int was_sent(enum err_code code)
{
	return code == ERR_OK || code == ERR_DEADLINE || code == ERR_INCOMPLETE;
}

static void count_second(struct result *out, const struct sample *s)
{
	struct second *second = &out->seconds[s->at_us / US_PER_S];

	if (s->is_lookup)
		return;
	second->requests++;
	if (!s->replied || s->code != ERR_OK)
		return;
	second->answered++;
	second->shards_total += s->shards_total;
	second->shards_answered += s->shards_answered;
	second->latency_us_sum += s->end_us - s->at_us;
}

void result_fill(struct result *out, const struct run *r)
{
	int64_t *latencies_us = util_alloc(r->all.count + 1, sizeof(int64_t));
	uint64_t total = 0;
	uint64_t answered = 0;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < r->all.count; i++) {
		const struct sample *s = &r->all.items[i];

		count_second(out, s);
		if (was_sent(s->code))
			out->asked += s->is_lookup ? 1 : r->scenario->shards;
		if (s->at_us < WARM_UP_US)
			continue;
		out->requests++;
		if (!s->replied) {
			out->lost++;
			continue;
		}
		if (s->code != ERR_OK) {
			count_refusal(out, s->code);
			continue;
		}
		if (s->is_lookup)
			continue;
		total += s->shards_total;
		answered += s->shards_answered;
		latencies_us[count++] = s->end_us - s->at_us;
	}
	qsort(latencies_us, count, sizeof(int64_t), compare);
	out->p50_ms = quantile_ms(latencies_us, count, 0.5);
	out->p99_ms = quantile_ms(latencies_us, count, 0.99);
	out->p999_ms = quantile_ms(latencies_us, count, 0.999);
	out->coverage = total ? (double)answered / (double)total : 0;
	free(latencies_us);
}
