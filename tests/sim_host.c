/* Simulated hosts: each runs a pipeline (src/filter) with views of its own. */
#include <stdio.h>
#include <string.h>

#include "filter/pipeline_internal.h"
#include "sim_impl.h"

/* How often a host takes the request report of its pipeline. */
#define REPORT_US (100 * US_PER_MS)
/*
 * Time until a notice reaches the other hosts. Heartbeats carry it, which take
 * longer; here it is short so that short runs have some notices.
 */
#define NOTICE_US (100 * US_PER_MS)
/* Notices lost with the fault SIM_MEMBERS. */
#define NOTICE_LOSS_PERMILLE 100
/* A call without an answer ends this long after its deadline. */
#define GIVE_UP_US (5 * US_PER_MS)

static uint32_t shard_of_target(const struct sim *s, uint32_t target)
{
	return target / s->o.replicas;
}

static void give_up(void *ctx, int64_t now_us)
{
	struct sim_sub *sub = ctx;
	struct subrequest_result *r = util_alloc(1, sizeof(*r));

	r->sub_id = sub->sub_id;
	r->code = ERR_TARGET_TIMEOUT;
	sim_host_result(sub, r);
}

/*
 * Counts the sub-request as the first of its attempt to this shard and
 * snapshot, or as extra.
 */
static void count_sent(struct sim *s, struct sim_sub *sub)
{
	struct sim_attempt *a = sub->attempt;
	struct sim_host *h = &s->hosts[sub->host];
	uint32_t *mask;

	if (!a) {
		s->result->warm_ups++;
		return;
	}
	h->first[a->customer] +=
		(uint64_t) !(a->offered_mask >> sub->shard & 1);
	a->offered_mask |= 1U << sub->shard;
	/* A refused connection is no load on the target. */
	if (s->targets[sub->target].down)
		return;
	mask = &a->sent_mask[sub->snapshot % countof(a->sent_mask)];
	if (*mask & 1U << sub->shard) {
		s->result->extra++;
		h->extra[a->customer]++;
	} else {
		*mask |= 1U << sub->shard;
		s->result->first++;
	}
}

struct sim_sub *sim_sub_send(struct sim *s, uint32_t host,
			     struct sim_attempt *a,
			     const struct subrequest_msg *call, uint32_t target)
{
	struct sim_sub *sub = util_alloc(1, sizeof(*sub));

	g_ptr_array_add(s->subs, sub);
	sub->sim = s;
	sub->host = host;
	sub->host_incarnation = s->hosts[host].incarnation;
	sub->sub_id = call->sub_id;
	sub->target = target;
	sub->shard = shard_of_target(s, target);
	sub->snapshot = call->snapshot[0] ? (uint32_t)atoi(call->snapshot + 1)
					  : s->snapshot;
	sub->attempt = a;
	sub->deadline_us = call->deadline_us;
	util_copy_str(sub->request_id, sizeof(sub->request_id),
		      call->request_id);
	count_sent(s, sub);
	timer_queue_arm(s->timers, &sub->arrive, s->now_us + s->o.net_us,
			sim_target_arrive, sub);
	timer_queue_arm(s->timers, &sub->give_up,
			call->deadline_us + GIVE_UP_US, give_up, sub);
	return sub;
}

static void cancel_call(struct sim *s, struct sim_host *h, uint64_t sub_id)
{
	struct sim_sub *sub = g_hash_table_lookup(h->subs, &sub_id);

	if (sub && !sub->cancel.armed_pos)
		timer_queue_arm(s->timers, &sub->cancel,
				s->now_us + s->o.net_us, sim_target_cancel,
				sub);
}

static void on_send(void *ctx, struct subrequest_msg *call)
{
	struct sim_host *h = ctx;
	struct sim *s = h->sim;
	uint32_t target = (uint32_t)(call->port - SIM_BASE_PORT);
	struct sim_attempt *a;
	struct sim_sub *sub;

	if (call->is_cancel) {
		cancel_call(s, h, call->sub_id);
		subrequest_msg_free(call);
		return;
	}
	a = g_hash_table_lookup(h->attempts, call->request_id);
	sub = sim_sub_send(s, h->no, a, call, target);
	if (a)
		sub->nth = a->nth[sub->shard]++;
	g_hash_table_insert(h->subs, &sub->sub_id, sub);
	sim_check_connections(s, sub);
	sim_check_cold(s, sub);
	sim_check_out(s, sub);
	if (a)
		sim_check_budget(s, h, a->customer);
	subrequest_msg_free(call);
}

static int is_good(const struct sim *s, const struct sim_sub *sub,
		   const struct subrequest_result *r)
{
	char instance[NAME_BYTES];

	snprintf(instance, sizeof(instance), "t%u-%u", sub->target,
		 s->targets[sub->target].incarnation);
	return r->code == ERR_OK && strcmp(r->instance, instance) == 0;
}

/*
 * Called for a good answer of the target's present process. Records that the
 * host knows this process as cold, until the host knows it as warm and its ramp
 * limit has reached the number of slots.
 */
static void update_cold_incarnation(struct sim *s, struct sim_sub *sub)
{
	struct sim_host *h = &s->hosts[sub->host];
	struct sim_target *t = &s->targets[sub->target];
	char instance[NAME_BYTES];
	const struct target_state *known;
	char name[NAME_BYTES];

	snprintf(instance, sizeof(instance), "t%u-%u", sub->target,
		 t->incarnation);
	sim_target_name(name, sub->target);
	known = g_hash_table_lookup(h->path->targets, name);
	if (known && known->phase == TARGET_WARM &&
	    sim_ramp_limit(s, t) >= s->o.slots)
		h->cold_incarnation[sub->target] = 0;
	else if (known && strcmp(known->instance, instance) == 0)
		h->cold_incarnation[sub->target] = t->incarnation + 1;
}

static void end_at_host(struct sim *s, struct sim_sub *sub)
{
	struct sim_target *t = &s->targets[sub->target];

	sub->host_done = 1;
	timer_queue_cancel(s->timers, &sub->give_up);
	if (s->o.policy != SIM_COWSLIPPOINT)
		return;
	t->open[sub->host]--;
	t->open_cold[sub->host] -= (uint32_t)sub->is_known_cold;
	sub->is_known_cold = 0;
}

/* SIM_BROKEN_MATCH: makes a crossed answer look like the expected one. */
static void forge_match(const struct sim_sub *sub, struct subrequest_result *r)
{
	r->answer_sub_id = sub->sub_id;
	util_copy_str(r->request_id, sizeof(r->request_id), sub->request_id);
	snprintf(r->snapshot, sizeof(r->snapshot), "n%u", sub->snapshot);
}

void sim_host_result(struct sim_sub *sub, struct subrequest_result *r)
{
	struct sim *s = sub->sim;
	struct sim_host *h = &s->hosts[sub->host];
	int is_first = !sub->host_done;

	if (!h->alive || h->incarnation != sub->host_incarnation) {
		subrequest_result_free(r);
		return;
	}
	if (is_first)
		end_at_host(s, sub);
	if (s->o.policy != SIM_COWSLIPPOINT) {
		sim_naive_result(sub, r);
		subrequest_result_free(r);
		return;
	}
	if (s->o.broken == SIM_BROKEN_MATCH && r->code == ERR_OK)
		forge_match(sub, r);
	if (is_first) {
		int good = is_good(s, sub, r);

		s->targets[sub->target].good += (uint32_t)good;
		g_hash_table_remove(h->subs, &sub->sub_id);
		pipeline_on_result(h->path, r, s->now_us);
		if (good)
			update_cold_incarnation(s, sub);
		return;
	}
	pipeline_on_result(h->path, r, s->now_us);
}

static void fill_target(const struct sim *s, struct target *t, uint32_t i)
{
	snprintf(t->id, sizeof(t->id), "t%u", i);
	snprintf(t->data_centre, sizeof(t->data_centre), "dc%u",
		 i % s->o.replicas);
	util_copy_str(t->address, sizeof(t->address), "127.0.0.1");
	util_copy_str(t->version, sizeof(t->version), "v1");
	t->port = (uint16_t)(SIM_BASE_PORT + i);
	t->slots = s->o.slots;
	t->connections = s->o.connections;
	t->cold_slots = s->o.cold_slots;
}

static struct layout *make_layout(const struct sim *s, uint32_t snapshot)
{
	struct layout *l = layout_new(s->o.shards, s->target_count);
	uint32_t i;

	util_copy_str(l->index, sizeof(l->index), "i");
	util_copy_str(l->service, sizeof(l->service), "svc");
	snprintf(l->snapshot, sizeof(l->snapshot), "n%u", snapshot);
	for (i = 0; i < s->target_count; i++) {
		struct shard *shard = &l->shards[i / s->o.replicas];

		snprintf(shard->name, sizeof(shard->name), "s%u",
			 i / s->o.replicas);
		shard->replicas[shard->replica_count++] = i;
		fill_target(s, &l->targets[i], i);
	}
	return l;
}

static void fill_contracts(const struct sim *s, struct view *v)
{
	uint32_t i;

	v->contract_count = s->o.customer_count;
	v->contracts = util_alloc(v->contract_count, sizeof(*v->contracts));
	for (i = 0; i < v->contract_count; i++) {
		struct contract *c = &v->contracts[i];

		snprintf(c->customer, sizeof(c->customer), "c%u", i);
		c->index_count = 1;
		util_copy_str(c->indexes[0], NAME_BYTES, "i");
		c->answer_ms = s->o.answer_ms;
		c->min_coverage_permille = s->o.coverage_permille;
		c->rate_per_s = s->o.customers[i].rate_per_s;
		c->extra_load_permille = s->o.extra_permille;
		c->target_share_permille = s->o.target_share_permille;
	}
}

static void narrow_out_mask(gpointer key, gpointer value, gpointer ctx)
{
	const struct sim_host *h = ctx;

	((struct sim_attempt *)value)->out_mask &= h->out_mask;
}

void sim_host_view(struct sim *s, uint32_t no)
{
	struct sim_host *h = &s->hosts[no];
	struct view *v = view_new();
	uint32_t members = h->members;
	uint32_t i;

	h->view_members = members;
	if (s->o.broken == SIM_BROKEN_OWNER)
		members = 1U << no;
	v->hosts = util_alloc(SIM_HOSTS_MAX, NAME_BYTES);
	for (i = 0; i < SIM_HOSTS_MAX; i++) {
		if (members >> i & 1)
			util_copy_str(v->hosts[v->host_count++], NAME_BYTES,
				      s->hosts[i].name);
	}
	fill_contracts(s, v);
	v->layouts = util_alloc(1, sizeof(*v->layouts));
	v->layouts[v->layout_count++] = make_layout(s, h->snapshot);
	v->dcs = util_alloc(s->o.replicas, sizeof(*v->dcs));
	for (i = 0; i < s->o.replicas; i++) {
		struct dc_share *share = &v->dcs[v->dc_count++];

		snprintf(share->data_centre, sizeof(share->data_centre), "dc%u",
			 i);
		share->share_permille = h->out_mask >> i & 1 ? 0 : PERMILLE;
	}
	if (s->o.policy != SIM_COWSLIPPOINT) {
		view_unref(v);
		return;
	}
	pipeline_set_view(h->path, v, s->now_us);
	/*
	 * A request that has not fixed its view yet takes the newer one: only
	 * data centres that are out in both count as out for it.
	 */
	g_hash_table_foreach(h->attempts, narrow_out_mask, h);
}

/* A notice on its way to one host. */
struct notice_in_transit {
	uint32_t host;
	uint32_t incarnation;
	struct target_notice notice;
};

/*
 * Hands the notice to the host. A target must not be announced as warm before
 * its ramp has ended.
 */
static void deliver_notice(struct sim *s, void *arg)
{
	struct notice_in_transit *transit = arg;
	struct sim_host *h = &s->hosts[transit->host];
	uint32_t target = (uint32_t)atoi(transit->notice.target + 1);
	const struct sim_target *t = &s->targets[target];
	const struct target_state *known;
	char instance[NAME_BYTES];

	snprintf(instance, sizeof(instance), "t%u-%u", target, t->incarnation);
	if (transit->notice.kind == TARGET_NOTICE_WARM &&
	    strcmp(transit->notice.instance, instance) == 0 && t->incarnation &&
	    sim_ramp_limit(s, t) < s->o.slots)
		sim_violate(s, "t%u is announced as warm after %u good answers",
			    target, t->good);
	if (h->alive && h->incarnation == transit->incarnation) {
		pipeline_on_notice(h->path, &transit->notice, s->now_us);
		known = g_hash_table_lookup(h->path->targets,
					    transit->notice.target);
		if (known && known->phase == TARGET_WARM)
			h->cold_incarnation[target] = 0;
	}
	free(transit);
}

/* Sends the notice to all other hosts. */
static void spread_notice(struct sim *s, uint32_t from,
			  const struct target_notice *n)
{
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++) {
		struct notice_in_transit *transit;

		if (i == from || (sim_has(s, SIM_MEMBERS) &&
				  sim_chance(s, NOTICE_LOSS_PERMILLE)))
			continue;
		transit = util_alloc(1, sizeof(*transit));
		transit->host = i;
		transit->incarnation = s->hosts[i].incarnation;
		transit->notice = *n;
		sim_after(s, NOTICE_US, deliver_notice, transit);
	}
}

/* SIM_BROKEN_BUDGET: fills extra-load budgets so that they do not run out. */
static void unlimit_budget(struct sim_host *h)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->path->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer_stats *c = value;

		c->budget.cap_milli = c->budget.tokens_milli = 1U << 30;
	}
}

static void take_report(void *ctx, int64_t now_us)
{
	struct sim_host *h = ctx;
	struct request_report *report = pipeline_take_report(h->path, now_us);
	uint32_t i;

	for (i = 0; i < report->notice_count; i++)
		spread_notice(h->sim, h->no, &report->notices[i]);
	request_report_free(report);
	if (h->sim->o.broken == SIM_BROKEN_BUDGET)
		unlimit_budget(h);
	timer_queue_arm(h->sim->timers, &h->report, now_us + REPORT_US,
			take_report, h);
}

void sim_host_start(struct sim *s, uint32_t no)
{
	struct sim_host *h = &s->hosts[no];
	struct pipeline_ops ops = { on_send, sim_claim, sim_record, h };

	h->sim = s;
	h->no = no;
	h->incarnation++;
	h->alive = 1;
	h->snapshot = s->snapshot;
	h->out_mask = s->out_mask;
	snprintf(h->name, sizeof(h->name), "h%u", no);
	memset(h->cold_incarnation, 0, sizeof(h->cold_incarnation));
	memset(h->first, 0, sizeof(h->first));
	memset(h->extra, 0, sizeof(h->extra));
	h->subs = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->attempts = g_hash_table_new(g_str_hash, g_str_equal);
	h->path =
		pipeline_new(&ops, s->timers, h->name,
			     s->o.seed * 100 + no + h->incarnation * 10000ULL);
	take_report(h, s->now_us);
}

static void end_sub(gpointer key, gpointer value, gpointer ctx)
{
	end_at_host(ctx, value);
}

void sim_host_kill(struct sim *s, uint32_t no)
{
	struct sim_host *h = &s->hosts[no];

	if (!h->alive)
		return;
	h->alive = 0;
	timer_queue_cancel(s->timers, &h->report);
	pipeline_free(h->path);
	g_hash_table_foreach(h->subs, end_sub, s);
	g_hash_table_destroy(h->subs);
	g_hash_table_destroy(h->attempts);
}

int sim_host_all_cold(const struct sim *s, uint32_t no, uint32_t shard)
{
	const struct sim_host *h = &s->hosts[no];
	uint32_t i;

	for (i = 0; i < s->o.replicas; i++) {
		uint32_t target = shard * s->o.replicas + i;
		const struct target_state *known;
		char name[NAME_BYTES];

		sim_target_name(name, target);
		known = g_hash_table_lookup(h->path->targets, name);
		/*
		 * Without a restart of the target or of the host none is cold.
		 */
		if (!s->targets[target].incarnation && h->incarnation == 1)
			return 0;
		if (!known || known->phase == TARGET_WARM)
			return 0;
	}
	return 1;
}

int sim_host_ready(const struct sim *s, uint32_t no)
{
	const struct sim_host *h = &s->hosts[no];

	return h->alive && pipeline_ready(h->path, s->now_us);
}

void sim_host_submit(struct sim *s, struct sim_attempt *a,
		     struct caller_request *c)
{
	struct sim_host *h = &s->hosts[a->host];
	struct sim_attempt *earlier = g_hash_table_lookup(h->attempts, a->id);

	a->out_mask = h->out_mask;
	g_hash_table_replace(h->attempts, a->id, a);
	pipeline_on_request(h->path, c, s->now_us);
	/* Refused as a duplicate: the earlier attempt is still in flight. */
	if (earlier && !earlier->replies)
		g_hash_table_replace(h->attempts, earlier->id, earlier);
}

void sim_host_caller_gone(struct sim *s, struct sim_attempt *a)
{
	struct sim_host *h = &s->hosts[a->host];

	if (h->alive && h->incarnation == a->host_incarnation)
		pipeline_on_caller_gone(h->path, a->seq + 1, s->now_us);
}
