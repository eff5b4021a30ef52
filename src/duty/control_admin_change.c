/*
 * Operators' calls on changes: the state of each change; see control_admin.h.
 */
#include <inttypes.h>
#include <string.h>

#include "codec/admin_json.h"
#include "codec/cfg_json.h"
#include "duty/control_admin_internal.h"

#define ROLLOUT_PREFIX "rollout/"
/* Limit of the answer to GET changes, which lists the latest changes. */
#define LISTED_MAX 50

static int is_rollout(const char *item)
{
	return strncmp(item, ROLLOUT_PREFIX, strlen(ROLLOUT_PREFIX)) == 0;
}

/*
 * Leaves @out->to empty if @item is of another kind, deleted or malformed.
 */
static void decode_rollout(const struct cfg_item *item,
			   struct rollout_item *out)
{
	struct err err = { 0 };

	if (!is_rollout(item->name) || !item->json ||
	    cfg_json_decode_rollout(item->json, out, &err) != ERR_OK)
		memset(out, 0, sizeof(*out));
}

static void fill_entry(struct history_entry *entry, const struct cfg_item *item)
{
	memset(entry, 0, sizeof(*entry));
	entry->rev = item->rev;
	util_copy_str(entry->item, sizeof(entry->item), item->name);
	util_copy_str(entry->who, sizeof(entry->who), item->who);
	entry->deleted = !item->json;
	decode_rollout(item, &entry->rollout);
}

void control_admin_record_change(struct control_admin *a,
				 const struct cfg_item *item)
{
	fill_entry(&a->history[a->history_total++ % HISTORY_MAX], item);
}

/* Number of the oldest change in the history. */
static uint64_t history_start(const struct control_admin *a)
{
	return a->history_total > HISTORY_MAX ? a->history_total - HISTORY_MAX
					      : 0;
}

struct rev_search {
	uint64_t rev;
	struct history_entry *out;
};

static void match_rev(void *ctx, const struct cfg_item *item)
{
	struct rev_search *s = ctx;

	if (item->rev == s->rev)
		fill_entry(s->out, item);
}

/*
 * Looks for @rev in the history, then among the items in effect, because the
 * history is empty after a restart.
 */
static enum err_code find_entry(struct control_admin *a, uint64_t rev,
				struct history_entry *out, struct err *err)
{
	struct rev_search search = { rev, out };
	uint64_t i;

	for (i = a->history_total; i > history_start(a); i--) {
		const struct history_entry *entry =
			&a->history[(i - 1) % HISTORY_MAX];

		if (entry->rev == rev) {
			*out = *entry;
			return ERR_OK;
		}
	}
	memset(out, 0, sizeof(*out));
	a->ops->each_item(a->ctx, "", match_rev, &search);
	if (out->rev)
		return ERR_OK;
	if (rev > a->ops->rev(a->ctx))
		return err_set(err, ERR_NOT_FOUND,
			       "change r%" PRIu64 " is not known here; this "
			       "host is at revision %" PRIu64,
			       rev, a->ops->rev(a->ctx));
	return err_set(err, ERR_NOT_FOUND,
		       "change r%" PRIu64 " was replaced before this host "
		       "started, or is older than its last %d changes",
		       rev, HISTORY_MAX);
}

static void rollout_statement(const struct rollout_item *r, const char *bad,
			      struct change *out)
{
	switch (r->state) {
	case ROLLOUT_DONE:
		out->state = CHANGE_DONE;
		buf_addf(&out->statement, "done: %s serves all of %s\n", r->to,
			 r->service);
		return;
	case ROLLOUT_ROLLED_BACK:
		out->state = CHANGE_ROLLED_BACK;
		buf_addf(&out->statement, "rolled back to %s: %s\n", r->from,
			 r->reason);
		return;
	case ROLLOUT_ABORTED:
		out->state = CHANGE_ABORTED;
		buf_addf(&out->statement, "aborted, back to %s: %s\n", r->from,
			 r->reason);
		return;
	default:
		out->state = CHANGE_IN_PROGRESS;
	}
	if (bad)
		buf_addf(&out->statement,
			 "being rolled back to %s; this host already gives %s "
			 "no work: %s\n",
			 r->from, r->to, bad);
	else
		buf_addf(&out->statement, "in progress: %s has %u of 1000\n",
			 r->to, r->share_permille);
}

struct dc_search {
	const struct evacuation_host *hosts;
	uint32_t host_count;
	/*
	 * Names of the data centres checked so far, each with a space before
	 * and after.
	 */
	struct buf *seen;
	/* Gets a line for each data centre without a known host. */
	struct buf *out;
	/* Number of these data centres. */
	uint32_t missing;
};

/*
 * Adds a line to dc_search.out for the data centre of @t, once, if no entry
 * host in it is known.
 */
static void check_dc(void *ctx, const char *service, const struct target *t)
{
	struct dc_search *s = ctx;
	char key[NAME_BYTES + 2];
	uint32_t i;

	snprintf(key, sizeof(key), " %s ", t->data_centre);
	if (s->seen->data && strstr(s->seen->data, key))
		return;
	buf_addf(s->seen, "%s", key);
	for (i = 0; i < s->host_count; i++) {
		if (strcmp(s->hosts[i].data_centre, t->data_centre) == 0)
			return;
	}
	s->missing++;
	buf_addf(s->out,
		 "data centre %s: no host is known here; it is down or "
		 "partitioned, and its hosts may serve without this change\n",
		 t->data_centre);
}

/*
 * Sets the state, the host counts and the statement of @out: on which hosts
 * revision @rev is in effect.
 */
static void spread_statement(struct control_admin *a, uint64_t rev,
			     struct change *out)
{
	struct evacuation_host *hosts CLEANUP_FREE = NULL;
	struct buf seen CLEANUP_BUF = { 0 };
	struct buf rest CLEANUP_BUF = { 0 };
	struct dc_search search = { .seen = &seen, .out = &rest };
	struct evacuation_status status;

	hosts = control_admin_hosts_internal(a, &search.host_count);
	search.hosts = hosts;
	evacuation_count_confirmed(rev, hosts, search.host_count, &status);
	evacuation_unconfirmed_text(rev, hosts, search.host_count, &rest);
	control_admin_each_target_internal(a, check_dc, &search);
	out->host_count = status.host_count;
	out->confirmed_count = status.confirmed_count;
	out->waiting_count = status.waiting_count;
	out->not_in_contact_count = status.not_in_contact_count;
	out->state = status.complete && !search.missing ? CHANGE_DONE
							: CHANGE_IN_PROGRESS;
	if (out->state == CHANGE_DONE)
		buf_addf(&out->statement, "done: in effect on all %u hosts\n",
			 status.host_count);
	else
		buf_addf(&out->statement,
			 "in progress: in effect on %u of %u known hosts\n",
			 status.confirmed_count, status.host_count);
	if (rest.data)
		buf_add(&out->statement, rest.data, rest.len_bytes);
}

/*
 * Last known state of the rollout that change @entry is part of: that of the
 * latest change in the history with the same item, from and to, or of @entry if
 * none is later.
 */
static const struct rollout_item *last_state(struct control_admin *a,
					     const struct history_entry *entry)
{
	const struct rollout_item *last = &entry->rollout;
	uint64_t i;

	for (i = history_start(a); i < a->history_total; i++) {
		const struct history_entry *later =
			&a->history[i % HISTORY_MAX];

		if (later->rev > entry->rev &&
		    strcmp(later->item, entry->item) == 0 &&
		    strcmp(later->rollout.to, entry->rollout.to) == 0 &&
		    strcmp(later->rollout.from, entry->rollout.from) == 0)
			last = &later->rollout;
	}
	return last;
}

/*
 * 1 if the state of the change is that of its rollout. An abort is a change of
 * its own, which is done when every host has it.
 */
static int follows_rollout(const struct history_entry *entry)
{
	return entry->rollout.to[0] && entry->rollout.state != ROLLOUT_ABORTED;
}

static void fill_rollout_change(struct control_admin *a,
				const struct history_entry *entry,
				const struct cfg_item *current,
				struct change *out)
{
	const struct rollout_item *last = last_state(a, entry);
	const char *bad =
		rollout_bad_reason(a->rollouts, last->service, last->to);

	rollout_statement(last, bad, out);
	if (out->state == CHANGE_IN_PROGRESS && current &&
	    current->rev > entry->rev && !current->json) {
		out->state = CHANGE_REPLACED;
		buf_free(&out->statement);
		buf_addf(&out->statement, "deleted by r%" PRIu64 " of %s\n",
			 current->rev, current->who);
	}
}

/*
 * Sets a change that is done back to in progress while the share of the data
 * centre rises: its return to service is not done before it has its full share.
 */
static void ramp_statement(struct control_admin *a, const char *data_centre,
			   struct change *out)
{
	uint32_t share = evacuation_share_permille(a->evacuation, data_centre,
						   a->ops->now_us(a->ctx));

	if (share == 0 || share == PERMILLE || out->state != CHANGE_DONE)
		return;
	out->state = CHANGE_IN_PROGRESS;
	buf_free(&out->statement);
	buf_addf(&out->statement,
		 "in progress: in effect on all %u hosts, share %u of 1000 and "
		 "rising\n",
		 out->host_count, share);
}

static void fill_change(struct control_admin *a,
			const struct history_entry *entry, struct change *out)
{
	const struct cfg_item *current = a->ops->item(a->ctx, entry->item);

	out->rev = entry->rev;
	util_copy_str(out->item, sizeof(out->item), entry->item);
	util_copy_str(out->who, sizeof(out->who), entry->who);
	if (follows_rollout(entry)) {
		fill_rollout_change(a, entry, current, out);
		return;
	}
	if (current && current->rev > entry->rev) {
		out->state = CHANGE_REPLACED;
		buf_addf(&out->statement, "replaced by r%" PRIu64 " of %s\n",
			 current->rev, current->who);
		return;
	}
	spread_statement(a, entry->rev, out);
	if (strncmp(entry->item, "dc/", 3) == 0)
		ramp_statement(a, entry->item + 3, out);
}

enum err_code control_admin_change_internal(struct control_admin *a,
					    uint64_t rev, struct change *out,
					    struct err *err)
{
	struct history_entry entry;
	enum err_code code = find_entry(a, rev, &entry, err);

	memset(out, 0, sizeof(*out));
	if (code == ERR_OK)
		fill_change(a, &entry, out);
	return code;
}

enum err_code control_admin_change_get(struct control_admin *a,
				       const struct admin_path *p,
				       struct admin_call *call, struct err *err)
{
	uint64_t rev = change_rev_from_id(p->name);
	struct change change = { 0 };
	enum err_code code;

	if (!rev)
		return err_set(err, ERR_BAD_FIELD,
			       "change ID is %s, accepted r and a revision "
			       "number",
			       p->name);
	code = control_admin_change_internal(a, rev, &change, err);
	if (code == ERR_OK)
		control_admin_reply_internal(call, err_http_status(ERR_OK),
					     admin_json_change(&change));
	change_clear(&change);
	return code;
}

enum err_code control_admin_changes_list(struct control_admin *a,
					 const struct admin_path *p,
					 struct admin_call *call,
					 struct err *err)
{
	struct admin_json_list *list = admin_json_list_new("changes");
	uint64_t from = history_start(a);
	uint64_t i;

	if (a->history_total - from > LISTED_MAX)
		from = a->history_total - LISTED_MAX;
	for (i = a->history_total; i > from; i--) {
		struct change change = { 0 };

		fill_change(a, &a->history[(i - 1) % HISTORY_MAX], &change);
		admin_json_list_add_change(list, &change);
		change_clear(&change);
	}
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    admin_json_list_finish(list));
}
