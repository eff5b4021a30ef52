#include "decide/admission.h"

#include "base/util.h"

/* One request, in millionths. */
#define TOKEN_MICRO 1000000
/*
 * Callers send in bursts: while there is only one host, its bucket holds 100 ms
 * of the rate. With any number of hosts a bucket holds 8 requests at least.
 */
#define BURST_DIVISOR 10
#define BURST_MIN 8
/*
 * With several hosts, what each admits as a share of the rate divided by the
 * number of hosts: the number of callers of a host is within a tenth of the
 * mean. A larger share would let a customer exceed its contract by as much over
 * all hosts.
 */
#define SPREAD_PERMILLE 1100
/*
 * With several hosts, each sees a small part of the rate, which fluctuates
 * more: the bucket holds 1 s of that part.
 */
#define BURST_DIVISOR_SHARED 1
/*
 * Limit in flight until answers have shown what targets bear: 32 requests or,
 * if that is more, an eighth of the rate times the deadline, because slow
 * answers need more.
 */
#define LIMIT_START_MILLI (32 * 1000)
#define LIMIT_START_DIVISOR 8
#define LIMIT_MIN_MILLI (2 * 1000)
#define LIMIT_MAX_MILLI (65536 * 1000)
/* Answers that take this share of the deadline or more lower the limit. */
#define SLOW_PERMILLE 600
/* A decrease leaves this share of the limit. */
#define DECREASE_PERMILLE 850

/* Part of the contract's rate that each of @host_count hosts admits. */
static uint32_t host_rate_per_s(const struct contract *c, uint32_t host_count)
{
	uint64_t spread = (uint64_t)c->rate_per_s * SPREAD_PERMILLE / PERMILLE;

	if (host_count <= 1)
		return c->rate_per_s;
	return util_max_u32(1, (uint32_t)(spread / host_count));
}

static uint64_t initial_limit_milli(const struct admission *a)
{
	uint64_t in_flight_milli = (uint64_t)a->rate_per_s *
				   (uint64_t)a->time_limit_us / US_PER_MS;
	uint64_t limit_milli = in_flight_milli / LIMIT_START_DIVISOR;

	if (limit_milli < LIMIT_START_MILLI)
		return LIMIT_START_MILLI;
	return limit_milli < LIMIT_MAX_MILLI ? limit_milli : LIMIT_MAX_MILLI;
}

void admission_configure(struct admission *a, const struct contract *c,
			 uint32_t host_count, int64_t now_us)
{
	uint32_t rate_per_s = host_rate_per_s(c, host_count);
	uint32_t divisor = host_count > 1 ? BURST_DIVISOR_SHARED
					  : BURST_DIVISOR;
	int64_t burst = util_max_i64(BURST_MIN, rate_per_s / divisor);
	int is_new = a->rate_per_s == 0;

	a->rate_per_s = rate_per_s;
	a->time_limit_us = (int64_t)c->answer_ms * US_PER_MS;
	a->tokens_cap_micro = burst * TOKEN_MICRO;
	if (is_new) {
		a->tokens_micro = a->tokens_cap_micro;
		a->refilled_us = now_us;
		a->limit_milli = initial_limit_milli(a);
	}
	a->tokens_micro = util_min_i64(a->tokens_micro, a->tokens_cap_micro);
}

static void refill(struct admission *a, int64_t now_us)
{
	/*
	 * At most one second, which fills the bucket unless the rate is below
	 * BURST_MIN. The limit keeps the product in range.
	 */
	int64_t idle_us = util_min_i64(now_us - a->refilled_us, US_PER_S);

	a->refilled_us = now_us;
	a->tokens_micro = util_min_i64(
		a->tokens_cap_micro, a->tokens_micro + idle_us * a->rate_per_s);
}

enum err_code admission_enter(struct admission *a, int64_t now_us,
			      struct err *err)
{
	refill(a, now_us);
	if (a->tokens_micro < TOKEN_MICRO)
		return err_set(err, ERR_RATE_LIMITED,
			       "contract allows %u requests per s on this host",
			       a->rate_per_s);
	/*
	 * Taken even if the request is refused below: tokens saved up during an
	 * overload would let a burst through after it.
	 */
	a->tokens_micro -= TOKEN_MICRO;
	if ((uint64_t)a->in_flight * 1000 >= a->limit_milli)
		return err_set(err, ERR_OVERLOADED,
			       "customer has %u requests in flight on this "
			       "host, accepted up to %u",
			       a->in_flight, (uint32_t)(a->limit_milli / 1000));
	a->in_flight++;
	return ERR_OK;
}

static void decrease(struct admission *a, int64_t now_us)
{
	if (now_us < a->hold_until_us)
		return;
	/*
	 * Requests admitted before the decrease may still finish slowly until
	 * their deadline, which is no reason for another decrease.
	 */
	a->hold_until_us = now_us + a->time_limit_us;
	a->limit_milli = a->limit_milli * DECREASE_PERMILLE / PERMILLE;
	if (a->limit_milli < LIMIT_MIN_MILLI)
		a->limit_milli = LIMIT_MIN_MILLI;
}

static void increase(struct admission *a)
{
	/*
	 * Only while at least half of the limit is in use; by one request for
	 * as many answers as the limit allows in flight.
	 */
	if ((uint64_t)a->in_flight * 2000 < a->limit_milli)
		return;
	a->limit_milli += 1000ULL * 1000 / a->limit_milli + 1;
	if (a->limit_milli > LIMIT_MAX_MILLI)
		a->limit_milli = LIMIT_MAX_MILLI;
}

void admission_leave(struct admission *a, int64_t now_us, int64_t elapsed_us,
		     enum admission_signal result)
{
	int64_t slow_us = a->time_limit_us * SLOW_PERMILLE / PERMILLE;

	if (result == ADMISSION_GOOD && elapsed_us < slow_us)
		increase(a);
	else if (result != ADMISSION_NEUTRAL)
		decrease(a, now_us);
	a->in_flight--;
}
