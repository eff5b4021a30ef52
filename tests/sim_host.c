/* Simulated hosts: one request path each, with its views and its clock. */
#include <stdio.h>
#include <string.h>

#include "filter/pipeline_internal.h"
#include "sim_impl.h"

#define EVIDENCE_US (100 * US_PER_MS)
/* Notices travel in heartbeats; faster here so that short runs have some. */
#define NOTICE_US (100 * US_PER_MS)
#define NOTICE_LOSS_PERMILLE 100
/* The target duty ends a call this long after its deadline. */
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

/* Counts the sub-request as the first of its shard and snapshot, or extra. */
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
	/* Refused connections are no load on the target. */
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
	sub->host_life = s->hosts[host].life;
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
		 s->targets[sub->target].life);
	return r->code == ERR_OK && strcmp(r->instance, instance) == 0;
}

/* What an answer of the target's present life makes the host know. */
static void learn(struct sim *s, struct sim_sub *sub)
{
	struct sim_host *h = &s->hosts[sub->host];
	struct sim_target *t = &s->targets[sub->target];
	char instance[NAME_BYTES];
	const struct target_state *known;
	char name[NAME_BYTES];

	snprintf(instance, sizeof(instance), "t%u-%u", sub->target, t->life);
	sim_target_name(name, sub->target);
	known = g_hash_table_lookup(h->path->targets, name);
	if (known && known->phase == TARGET_WARM &&
	    sim_ramp_limit(s, t) >= s->o.slots)
		h->cold_life[sub->target] = 0;
	else if (known && strcmp(known->instance, instance) == 0)
		h->cold_life[sub->target] = t->life + 1;
}

static void host_forget(struct sim *s, struct sim_sub *sub)
{
	struct sim_target *t = &s->targets[sub->target];

	sub->host_done = 1;
	timer_queue_cancel(s->timers, &sub->give_up);
	if (s->o.policy != SIM_COWSLIPPOINT)
		return;
	t->open[sub->host]--;
	t->open_cold[sub->host] -= (uint32_t)sub->known_cold;
	sub->known_cold = 0;
}

/* Makes a crossed answer look right. */
static void break_match(const struct sim_sub *sub, struct subrequest_result *r)
{
	r->answer_sub_id = sub->sub_id;
	util_copy_str(r->request_id, sizeof(r->request_id), sub->request_id);
	snprintf(r->snapshot, sizeof(r->snapshot), "n%u", sub->snapshot);
}

void sim_host_result(struct sim_sub *sub, struct subrequest_result *r)
{
	struct sim *s = sub->sim;
	struct sim_host *h = &s->hosts[sub->host];
	int first = !sub->host_done;

	if (!h->alive || h->life != sub->host_life) {
		subrequest_result_free(r);
		return;
	}
	if (first)
		host_forget(s, sub);
	if (s->o.policy != SIM_COWSLIPPOINT) {
		sim_naive_result(sub, r);
		subrequest_result_free(r);
		return;
	}
	if (s->o.broken == SIM_BROKEN_MATCH && r->code == ERR_OK)
		break_match(sub, r);
	if (first) {
		int good = is_good(s, sub, r);

		s->targets[sub->target].good += (uint32_t)good;
		g_hash_table_remove(h->subs, &sub->sub_id);
		pipeline_on_result(h->path, r, s->now_us);
		if (good)
			learn(s, sub);
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

static void narrow_out(gpointer key, gpointer value, gpointer ctx)
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

	h->members_seen = members;
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
		struct dc_share *w = &v->dcs[v->dc_count++];

		snprintf(w->data_centre, sizeof(w->data_centre), "dc%u", i);
		w->share_permille = h->out_mask >> i & 1 ? 0 : PERMILLE;
	}
	if (s->o.policy != SIM_COWSLIPPOINT) {
		view_unref(v);
		return;
	}
	pipeline_set_view(h->path, v, s->now_us);
	/* A request that is not pinned yet takes the newer view. */
	g_hash_table_foreach(h->attempts, narrow_out, h);
}

struct notice_trip {
	uint32_t host;
	uint32_t life;
	struct target_notice notice;
};

/* What a notice makes the host know of the target. */
static void take_notice(struct sim *s, void *arg)
{
	struct notice_trip *trip = arg;
	struct sim_host *h = &s->hosts[trip->host];
	uint32_t target = (uint32_t)atoi(trip->notice.target + 1);
	const struct sim_target *t = &s->targets[target];
	const struct target_state *known;
	char instance[NAME_BYTES];

	snprintf(instance, sizeof(instance), "t%u-%u", target, t->life);
	if (trip->notice.kind == NOTICE_WARM &&
	    strcmp(trip->notice.instance, instance) == 0 && t->life &&
	    sim_ramp_limit(s, t) < s->o.slots)
		sim_violate(s, "t%u is warm after %u answers", target, t->good);
	if (h->alive && h->life == trip->life) {
		pipeline_on_notice(h->path, &trip->notice, s->now_us);
		known = g_hash_table_lookup(h->path->targets,
					    trip->notice.target);
		if (known && known->phase == TARGET_WARM)
			h->cold_life[target] = 0;
	}
	free(trip);
}

static void spread_notice(struct sim *s, uint32_t from,
			  const struct target_notice *n)
{
	uint32_t i;

	for (i = 0; i < s->o.hosts; i++) {
		struct notice_trip *trip;

		if (i == from || (sim_has(s, SIM_MEMBERS) &&
				  sim_chance(s, NOTICE_LOSS_PERMILLE)))
			continue;
		trip = util_alloc(1, sizeof(*trip));
		trip->host = i;
		trip->life = s->hosts[i].life;
		trip->notice = *n;
		sim_after(s, NOTICE_US, take_notice, trip);
	}
}

/* Budget without an end. */
static void break_budget(struct sim_host *h)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->path->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer_stats *c = value;

		c->budget.cap_milli = c->budget.tokens_milli = 1U << 30;
	}
}

static void on_evidence(void *ctx, int64_t now_us)
{
	struct sim_host *h = ctx;
	struct request_report *e = pipeline_take_report(h->path, now_us);
	uint32_t i;

	for (i = 0; i < e->notice_count; i++)
		spread_notice(h->sim, h->no, &e->notices[i]);
	request_report_free(e);
	if (h->sim->o.broken == SIM_BROKEN_BUDGET)
		break_budget(h);
	timer_queue_arm(h->sim->timers, &h->evidence, now_us + EVIDENCE_US,
			on_evidence, h);
}

void sim_host_start(struct sim *s, uint32_t no)
{
	struct sim_host *h = &s->hosts[no];
	struct pipeline_ops ops = { on_send, sim_claim, sim_record, h };

	h->sim = s;
	h->no = no;
	h->life++;
	h->alive = 1;
	h->snapshot = s->snapshot;
	h->out_mask = s->out_mask;
	snprintf(h->name, sizeof(h->name), "h%u", no);
	memset(h->cold_life, 0, sizeof(h->cold_life));
	memset(h->first, 0, sizeof(h->first));
	memset(h->extra, 0, sizeof(h->extra));
	h->subs = g_hash_table_new(g_int64_hash, g_int64_equal);
	h->attempts = g_hash_table_new(g_str_hash, g_str_equal);
	h->path = pipeline_new(&ops, s->timers, h->name,
			       s->o.seed * 100 + no + h->life * 10000ULL);
	on_evidence(h, s->now_us);
}

static void drop_sub(gpointer key, gpointer value, gpointer ctx)
{
	host_forget(ctx, value);
}

void sim_host_kill(struct sim *s, uint32_t no)
{
	struct sim_host *h = &s->hosts[no];

	if (!h->alive)
		return;
	h->alive = 0;
	timer_queue_cancel(s->timers, &h->evidence);
	pipeline_free(h->path);
	g_hash_table_foreach(h->subs, drop_sub, s);
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
		/* Cold for a reason: it or this host has started anew. */
		if (!s->targets[target].life && h->life == 1)
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
	struct sim_attempt *before = g_hash_table_lookup(h->attempts, a->id);

	a->out_mask = h->out_mask;
	g_hash_table_replace(h->attempts, a->id, a);
	pipeline_on_request(h->path, c, s->now_us);
	/* Refused as a duplicate: the one before is still in flight. */
	if (before && !before->replies)
		g_hash_table_replace(h->attempts, before->id, before);
}

void sim_host_gone(struct sim *s, struct sim_attempt *a)
{
	struct sim_host *h = &s->hosts[a->host];

	if (h->alive && h->life == a->host_life)
		pipeline_on_caller_gone(h->path, a->seq + 1, s->now_us);
}
