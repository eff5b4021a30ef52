/*
 * Collects the report to the control duty: counts of sub-requests by version,
 * counts of answers by customer, and notices about targets.
 */
#include <string.h>

#include "filter/pipeline_internal.h"

/* Owners repeat which targets are warm, for hosts that started since. */
#define ANNOUNCE_PERIOD_US (5 * US_PER_S)
/* More would not fit into the heartbeats of one announcement period. */
#define NOTICES_MAX 4096

static struct version_counts *get_version_counts(struct pipeline *p,
						 const struct subrequest *s)
{
	const char *version = s->target->def.version;
	struct version_counts new_counts = { .op = s->op };
	uint32_t i;

	for (i = 0; i < p->version_counts->len; i++) {
		struct version_counts *counts = &g_array_index(
			p->version_counts, struct version_counts, i);

		if (counts->op == s->op &&
		    strcmp(counts->version, version) == 0 &&
		    strcmp(counts->service, s->service) == 0)
			return counts;
	}
	util_copy_str(new_counts.service, sizeof(new_counts.service),
		      s->service);
	util_copy_str(new_counts.version, sizeof(new_counts.version), version);
	g_array_append_val(p->version_counts, new_counts);
	return &g_array_index(p->version_counts, struct version_counts,
			      p->version_counts->len - 1);
}

void request_report_add_subrequest(struct pipeline *p,
				   const struct subrequest *s,
				   const struct subrequest_result *result,
				   int failed)
{
	struct version_counts *counts = get_version_counts(p, s);

	counts->requests++;
	if (failed) {
		counts->failures++;
		return;
	}
	if (result->service_us > s->slow_after_us)
		counts->slow++;
	counts->service_us_sum += (uint64_t)result->service_us;
}

void request_report_add_abandoned(struct pipeline *p,
				  const struct subrequest *s, int64_t waited_us)
{
	struct version_counts *counts;

	/* Cancelled for another reason than being slow. */
	if (waited_us < s->slow_after_us)
		return;
	counts = get_version_counts(p, s);
	counts->requests++;
	counts->slow++;
	counts->service_us_sum += (uint64_t)waited_us;
}

void request_report_add_answer(struct req *r, const struct answer *a,
			       int64_t now_us)
{
	struct customer_counts *counts;

	if (!r->customer || a->err.code == ERR_CANCELLED)
		return;
	counts = &r->customer->counts;
	/* A search has no effect: without an answer it is refused, not lost. */
	if (a->outcome == OUTCOME_UNKNOWN && r->request->op == OP_LOOKUP)
		counts->lost++;
	else if (a->err.code != ERR_OK)
		counts->refused++;
	else if (!a->is_complete)
		counts->partial++;
	else if (now_us > r->deadline_us)
		counts->late++;
	else
		counts->good++;
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

/* Adds a notice for each warm target that this host owns, once per period. */
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
							  TARGET_NOTICE_WARM);
		}
	}
}

struct request_report *pipeline_take_report(struct pipeline *p, int64_t now_us)
{
	struct request_report *report = util_alloc(1, sizeof(*report));
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	announce(p, now_us);
	report->version_count = p->version_counts->len;
	report->versions =
		util_alloc(report->version_count, sizeof(*report->versions));
	if (report->version_count)
		memcpy(report->versions, p->version_counts->data,
		       report->version_count * sizeof(*report->versions));
	g_array_set_size(p->version_counts, 0);
	report->customers = util_alloc(g_hash_table_size(p->customers),
				       sizeof(*report->customers));
	g_hash_table_iter_init(&iter, p->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer_stats *s = value;
		struct customer_counts *counts = &s->counts;

		if (!(counts->good | counts->late | counts->partial |
		      counts->refused | counts->lost))
			continue;
		report->customers[report->customer_count++] = *counts;
		counts->good = counts->late = counts->partial = 0;
		counts->refused = counts->lost = 0;
	}
	report->notices = util_alloc(p->notices->len, sizeof(*report->notices));
	for (i = 0; i < p->notices->len; i++)
		report->notices[report->notice_count++] =
			*(struct target_notice *)p->notices->pdata[i];
	g_ptr_array_set_size(p->notices, 0);
	return report;
}
