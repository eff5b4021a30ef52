/*
 * Filter 2: finds the customer's contract, refuses what it does not permit, and
 * sets the request's deadline from it and from the time that the caller allows.
 */
#include "filter/pipeline_internal.h"

static void on_cutoff(void *ctx, int64_t now_us)
{
	gather_finish(ctx, now_us);
}

static struct customer_stats *
get_customer(struct pipeline *p, const struct contract *c, int64_t now_us)
{
	struct customer_stats *s =
		g_hash_table_lookup(p->customers, c->customer);

	if (s)
		return s;
	s = util_alloc(1, sizeof(*s));
	s->contract = *c;
	admission_configure(&s->admission, c, p->binding->view->host_count,
			    now_us);
	s->open_by_target = g_hash_table_new(NULL, NULL);
	extra_budget_init(&s->budget, c->extra_load_permille, c->rate_per_s);
	util_copy_str(s->counts.customer, sizeof(s->counts.customer),
		      c->customer);
	g_hash_table_insert(p->customers, s->contract.customer, s);
	return s;
}

static int64_t time_limit_us(const struct req *r, const struct contract *c)
{
	uint32_t limit_ms = r->request->timeout_ms;

	if (!limit_ms || limit_ms > c->answer_ms)
		limit_ms = c->answer_ms;
	return (int64_t)limit_ms * US_PER_MS;
}

static enum filter_step enter(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;
	const struct contract *c;

	if (!p->binding)
		return req_refuse(r, ERR_NO_CONFIG,
				  "this host waits for its first configuration "
				  "from the store");
	c = view_contract(p->binding->view, r->request->customer);
	if (!c)
		return req_refuse(r, ERR_UNKNOWN_CUSTOMER,
				  r->request->customer);
	if (!contract_permits(c, r->request->index))
		return req_refuse(r, ERR_INDEX_NOT_ALLOWED, r->request->index);
	r->customer = get_customer(p, c, now_us);
	r->deadline_us = r->caller->received_us + time_limit_us(r, c);
	r->cutoff_us = r->deadline_us - contract_hop_margin_us(c);
	if (r->cutoff_us <= now_us)
		return req_refuse(r, ERR_DEADLINE,
				  "no time was left when the request arrived");
	timer_queue_arm(p->timers, &r->cutoff_timer, r->cutoff_us, on_cutoff,
			r);
	return FILTER_NEXT;
}

static void leave(void *ctx, void *item, int64_t now_us)
{
	struct req *r = item;
	struct pipeline *p = ctx;

	timer_queue_cancel(p->timers, &r->cutoff_timer);
}

struct filter filter_contract(struct pipeline *p)
{
	return (struct filter){ "contract", enter, leave, p };
}
