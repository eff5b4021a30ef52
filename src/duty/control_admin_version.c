/* Operators' calls on versions; see control_admin.h. */
#include <stdio.h>
#include <string.h>

#include "codec/cfg_json.h"
#include "duty/control_admin_internal.h"

/* Rollouts begin with the smallest share; see ROLLOUT_STEPS. */
#define FIRST_SHARE_PERMILLE 10

void control_admin_rollout_internal(struct control_admin *a,
				    const struct rollout_item *item,
				    uint64_t rev,
				    struct admin_json_rollout *out)
{
	memset(out, 0, sizeof(*out));
	out->item = item;
	out->rev = rev;
	out->bad_reason =
		rollout_bad_reason(a->rollouts, item->service, item->to);
	out->share_here_permille =
		rollout_share_permille(a->rollouts, item->service, item->to);
	rollout_get_score(a->rollouts, item->service, &out->score_milli,
			  &out->threshold_milli);
}

/*
 * Decodes the rollout item of @service in effect into @out and writes its item
 * revision to @rev; ERR_NOT_FOUND without one.
 */
static enum err_code current_rollout(struct control_admin *a,
				     const char *service,
				     struct rollout_item *out, uint64_t *rev,
				     struct err *err)
{
	const struct cfg_item *item;
	char name[ITEM_NAME_BYTES];

	snprintf(name, sizeof(name), "rollout/%s", service);
	item = a->ops->item(a->ctx, name);
	if (!item || !item->json)
		return err_set(err, ERR_NOT_FOUND, "service %s has no rollout",
			       service);
	*rev = item->rev;
	return cfg_json_decode_rollout(item->json, out, err);
}

enum err_code control_admin_version_get(struct control_admin *a,
					const struct admin_path *p,
					struct admin_call *call,
					struct err *err)
{
	struct rollout_item item = { 0 };
	struct admin_json_rollout info;
	uint64_t rev = 0;
	enum err_code code = current_rollout(a, p->name, &item, &rev, err);

	if (code != ERR_OK)
		return code;
	control_admin_rollout_internal(a, &item, rev, &info);
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    admin_json_rollout(&info));
}

struct service_search {
	const char *service;
	uint32_t found;
};

static void check_service(void *ctx, const char *service,
			  const struct target *t)
{
	struct service_search *s = ctx;

	s->found |= strcmp(service, s->service) == 0;
}

/* Refuses a start that contradicts the previous rollout of the service. */
static enum err_code check_previous(const struct rollout_item *previous,
				    const struct admin_json_start *s,
				    struct err *err)
{
	const char *serving = previous->state == ROLLOUT_DONE ? previous->to
							      : previous->from;

	if (previous->state == ROLLOUT_RUNNING)
		return err_set(err, ERR_CFG_RACE,
			       "the rollout of %s to %s is running; abort it "
			       "first",
			       previous->service, previous->to);
	if (previous->state == ROLLOUT_ROLLED_BACK &&
	    strcmp(previous->to, s->to) == 0)
		return err_set(err, ERR_CFG_FIELD,
			       "to is %s, which was rolled back; accepted a "
			       "version under a new name",
			       s->to);
	if (strcmp(serving, s->from) != 0)
		return err_set(err, ERR_CFG_FIELD,
			       "from is %s, accepted %s, which serves now",
			       s->from, serving);
	return ERR_OK;
}

static enum err_code check_start(struct control_admin *a, const char *service,
				 const struct admin_json_start *s,
				 uint64_t *rev, struct err *err)
{
	struct service_search search = { .service = service };
	struct rollout_item previous = { 0 };
	struct err none = { 0 };

	control_admin_each_target_internal(a, check_service, &search);
	if (!search.found)
		return err_set(err, ERR_NOT_FOUND,
			       "no index has targets of service %s", service);
	if (rollout_bad_reason(a->rollouts, service, s->to))
		return err_set(err, ERR_CFG_FIELD,
			       "to is %s, which was found bad; accepted a "
			       "version under a new name",
			       s->to);
	*rev = 0;
	if (current_rollout(a, service, &previous, rev, &none) != ERR_OK)
		return ERR_OK;
	return check_previous(&previous, s, err);
}

static enum err_code put_rollout(struct control_admin *a,
				 const struct rollout_item *r, uint64_t if_rev,
				 struct admin_call *call, struct err *err)
{
	char *json CLEANUP_FREE = cfg_json_encode_rollout(r);
	char item[ITEM_NAME_BYTES];

	snprintf(item, sizeof(item), "rollout/%s", r->service);
	return control_admin_edit_internal(a, item, json, if_rev, call, err);
}

enum err_code control_admin_version_start(struct control_admin *a,
					  const struct admin_path *p,
					  struct admin_call *call,
					  struct err *err)
{
	struct rollout_item r = { .share_permille = FIRST_SHARE_PERMILLE,
				  .state = ROLLOUT_RUNNING };
	struct admin_json_start s = { 0 };
	uint64_t rev = 0;
	enum err_code code = admin_json_start(call->body, &s, err);

	if (code == ERR_OK)
		code = check_start(a, p->name, &s, &rev, err);
	if (code != ERR_OK)
		return code;
	util_copy_str(r.service, sizeof(r.service), p->name);
	util_copy_str(r.from, sizeof(r.from), s.from);
	util_copy_str(r.to, sizeof(r.to), s.to);
	r.finish_by_ms = (uint64_t)a->ops->wall_ms(a->ctx) +
			 (uint64_t)s.finish_in_s * MS_PER_S;
	return put_rollout(a, &r, p->if_rev ? p->if_rev : rev, call, err);
}

enum err_code control_admin_version_abort(struct control_admin *a,
					  const struct admin_path *p,
					  struct admin_call *call,
					  struct err *err)
{
	char reason[REASON_BYTES / 2];
	struct rollout_item r = { 0 };
	uint64_t rev = 0;
	enum err_code code = admin_json_decode_reason(call->body, reason,
						      sizeof(reason), err);

	if (code == ERR_OK)
		code = current_rollout(a, p->name, &r, &rev, err);
	if (code != ERR_OK)
		return code;
	if (r.state != ROLLOUT_RUNNING)
		return err_set(err, ERR_CFG_FIELD,
			       "the rollout is %s, accepted while running",
			       rollout_state_name(r.state));
	r.state = ROLLOUT_ABORTED;
	r.share_permille = 0;
	r.fence = 0;
	snprintf(r.reason, sizeof(r.reason), "aborted by an operator%s%s",
		 reason[0] ? ": " : "", reason);
	/*
	 * Tied to a revision only if the call has if_rev, not to the one read
	 * above, so that the abort wins over a step that the leader takes at
	 * the same time.
	 */
	return put_rollout(a, &r, p->if_rev, call, err);
}
