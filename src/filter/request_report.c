/* Collects what the controllers are told about versions and customers. */
#include <string.h>

#include "filter/pipeline_internal.h"

/* Owners repeat which targets are warm for hosts that started since. */
#define ANNOUNCE_PERIOD_US (5 * US_PER_S)
/* More would not fit the heartbeats of one announcement period. */
#define NOTICES_MAX 4096

static struct version_counts *find(struct pipeline *p,
				   const struct subrequest *s)
{
	const char *version = s->target->def.version;
	struct version_counts fresh = { .op = s->op };
	uint32_t i;

	for (i = 0; i < p->version_evidence->len; i++) {
		struct version_counts *e = &g_array_index(
			p->version_evidence, struct version_counts, i);

		if (e->op == s->op && strcmp(e->version, version) == 0 &&
		    strcmp(e->service, s->service) == 0)
			return e;
	}
	util_copy_str(fresh.service, sizeof(fresh.service), s->service);
	util_copy_str(fresh.version, sizeof(fresh.version), version);
	g_array_append_val(p->version_evidence, fresh);
	return &g_array_index(p->version_evidence, struct version_counts,
			      p->version_evidence->len - 1);
}

void request_report_add_subrequest(struct pipeline *p,
				   const struct subrequest *s,
				   const struct subrequest_result *r,
				   int failed)
{
	struct version_counts *e = find(p, s);

	e->requests++;
	if (failed) {
		e->failures++;
		return;
	}
	if (r->service_us > s->slow_after_us)
		e->slow++;
	e->service_us_sum += (uint64_t)r->service_us;
}

void request_report_add_abandoned(struct pipeline *p,
				  const struct subrequest *s, int64_t waited_us)
{
	struct version_counts *e;

	/* Given up for another reason than being slow. */
	if (waited_us < s->slow_after_us)
		return;
	e = find(p, s);
	e->requests++;
	e->slow++;
	e->service_us_sum += (uint64_t)waited_us;
}

void request_report_add_answer(struct req *r, const struct answer *a,
			       int64_t now_us)
{
	struct customer_counts *seen;

	if (!r->customer || a->err.code == ERR_CANCELLED)
		return;
	seen = &r->customer->counts;
	/* A search has no effect: without an answer it was refused, not lost. */
	if (a->outcome == OUTCOME_UNKNOWN && r->request->op == OP_LOOKUP)
		seen->lost++;
	else if (a->err.code != ERR_OK)
		seen->refused++;
	else if (!a->complete)
		seen->partial++;
	else if (now_us > r->deadline_us)
		seen->late++;
	else
		seen->good++;
}

void request_report_add_notice(struct pipeline *p, const struct target_state *t,
			       enum target_notice_kind kind)
{
	struct target_notice *n;

	if (p->notices->len >= NOTICES_MAX)
		return;
	n = util_alloc(1, sizeof(*n));
	util_copy_str(n->target, sizeof(n->target), t->def.id);
	util_copy_str(n->instance, sizeof(n->instance), t->instance);
	n->kind = kind;
	g_ptr_array_add(p->notices, n);
}

/* Repeats which of this host's own targets are warm. */
static void announce(struct pipeline *p, int64_t now_us)
{
	uint32_t i;
	uint32_t j;

	if (!p->binding || now_us < p->announce_at_us)
		return;
	p->announce_at_us = now_us + ANNOUNCE_PERIOD_US;
	for (i = 0; i < p->binding->view->layout_count; i++) {
		struct index_binding *b = &p->binding->indexes[i];

		for (j = 0; j < b->layout->target_count; j++) {
			struct target_binding *t = &b->targets[j];

			if (t->target->is_owner &&
			    t->target->phase == TARGET_WARM &&
			    !t->target->avoid_until_us)
				request_report_add_notice(p, t->target,
							  NOTICE_WARM);
		}
	}
}

struct request_report *pipeline_take_report(struct pipeline *p, int64_t now_us)
{
	struct request_report *e = util_alloc(1, sizeof(*e));
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	announce(p, now_us);
	e->version_count = p->version_evidence->len;
	e->versions = util_alloc(e->version_count, sizeof(*e->versions));
	if (e->version_count)
		memcpy(e->versions, p->version_evidence->data,
		       e->version_count * sizeof(*e->versions));
	g_array_set_size(p->version_evidence, 0);
	e->customers = util_alloc(g_hash_table_size(p->customers),
				  sizeof(*e->customers));
	g_hash_table_iter_init(&iter, p->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer_stats *s = value;
		struct customer_counts *seen = &s->counts;

		if (!(seen->good | seen->late | seen->partial | seen->refused |
		      seen->lost))
			continue;
		e->customers[e->customer_count++] = *seen;
		seen->good = seen->late = seen->partial = 0;
		seen->refused = seen->lost = 0;
	}
	e->notices = util_alloc(p->notices->len, sizeof(*e->notices));
	for (i = 0; i < p->notices->len; i++)
		e->notices[e->notice_count++] =
			*(struct target_notice *)p->notices->pdata[i];
	g_ptr_array_set_size(p->notices, 0);
	return e;
}
