/* Checks of each sub-request that a simulated host sends. */
#include <stdio.h>
#include <string.h>

#include "decide/rendezvous.h"
#include "sim_impl.h"

/* Good answers after which the ramp doubles what a cold target may get. */
#define COLD_GOOD_RUN 10

void sim_target_name(char *out, uint32_t target)
{
	snprintf(out, NAME_BYTES, "t%u", target);
}

/* 1 if host @no owns the target by the host list of its latest view. */
static int is_owner(const struct sim *s, uint32_t no, uint32_t target)
{
	char hosts[SIM_HOSTS_MAX][NAME_BYTES];
	char name[NAME_BYTES];
	uint32_t count = 0;
	uint32_t i;

	sim_target_name(name, target);
	for (i = 0; i < SIM_HOSTS_MAX; i++) {
		if (s->hosts[no].view_members >> i & 1)
			util_copy_str(hosts[count++], NAME_BYTES,
				      s->hosts[i].name);
	}
	return rendezvous_is_owner(name, s->hosts[no].name, hosts, count);
}

uint32_t sim_ramp_limit(const struct sim *s, const struct sim_target *t)
{
	/* Every target is warm when the run begins. */
	if (!t->incarnation)
		return s->o.slots;
	return s->o.cold_slots << util_min_u32(t->good / COLD_GOOD_RUN, 16);
}

/*
 * A host that knows a target as cold must send to it only as its owner, and no
 * more than the ramp allows. Hosts with the same host list agree on the owner,
 * so together they stay within the ramp too, except while ownership moves.
 */
void sim_check_cold(struct sim *s, struct sim_sub *sub)
{
	struct sim_host *h = &s->hosts[sub->host];
	struct sim_target *t = &s->targets[sub->target];
	uint32_t limit = sim_ramp_limit(s, t);

	if (h->cold_incarnation[sub->target] != t->incarnation + 1)
		return;
	/* The ramp is over, perhaps with the answer that is being handled. */
	if (limit >= s->o.slots)
		return;
	sub->is_known_cold = 1;
	t->open_cold[h->no]++;
	if (!is_owner(s, h->no, sub->target))
		sim_violate(s, "host %u does not own cold target t%u, sends %s",
			    h->no, sub->target, sub->request_id);
	if (t->open_cold[h->no] > limit)
		sim_violate(s,
			    "cold target t%u gets %u sub-requests at once, "
			    "limit %u",
			    sub->target, t->open_cold[h->no], limit);
}

/* All hosts together must stay within the connections that a target accepts. */
void sim_check_connections(struct sim *s, struct sim_sub *sub)
{
	struct sim_target *t = &s->targets[sub->target];
	uint32_t sum = 0;
	uint32_t i;

	t->open[sub->host]++;
	for (i = 0; i < SIM_HOSTS_MAX; i++)
		sum += t->open[i];
	if (sum > s->o.connections)
		sim_violate(s, "t%u has %u connections of %u", sub->target, sum,
			    s->o.connections);
}

/*
 * Extra sub-requests must stay within the share of the first ones that the
 * contract permits, plus the capacity of the budget.
 */
void sim_check_budget(struct sim *s, const struct sim_host *h,
		      uint32_t customer)
{
	uint64_t capacity = 10 + s->o.customers[customer].rate_per_s / 100;
	uint64_t earned = h->first[customer] * s->o.extra_permille / PERMILLE;

	if (h->extra[customer] > earned + capacity)
		sim_violate(s,
			    "host %u: %u extra sub-requests after %u first "
			    "ones",
			    h->no, (uint32_t)h->extra[customer],
			    (uint32_t)h->first[customer]);
}

/* A request must not be sent to a data centre that is out in its view. */
void sim_check_out(struct sim *s, const struct sim_sub *sub)
{
	uint32_t replica = sub->target % s->o.replicas;

	if (sub->attempt && sub->attempt->out_mask & 1U << replica)
		sim_violate(s,
			    "new work for data centre %u, which is out of "
			    "service",
			    replica);
}
