/* The status page of a host; see control_admin.h. */
#include <inttypes.h>
#include <string.h>

#include "codec/cfg_json.h"
#include "duty/control_admin_internal.h"

/* Status page while it is built. */
struct status {
	struct control_admin *admin;
	struct evacuation_host *hosts;
	uint32_t host_count;
	struct buf text;
	uint32_t dc_count;
	struct evacuation_status *dcs;
	uint32_t rollout_count;
	/*
	 * Arrays of rollout_count elements. Each rollouts[i].item is set to
	 * &items[i] only at the end, because the arrays move while they grow.
	 */
	struct rollout_item *items;
	struct admin_json_rollout *rollouts;
};

static void status_clear(struct status *s)
{
	free(s->hosts);
	free(s->dcs);
	free(s->items);
	free(s->rollouts);
	buf_free(&s->text);
}

/*
 * Adds a data centre or host, unless it is in service with its full share and
 * every host has confirmed that.
 */
static void add_dc(void *ctx, enum evacuation_kind kind, const char *name,
		   enum evacuation_state state, uint64_t rev)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct status *s = ctx;
	struct evacuation_status status;

	evacuation_status(s->admin->evacuation,
			  s->admin->ops->now_us(s->admin->ctx), kind, name,
			  s->hosts, s->host_count, &status);
	if (state == EVACUATION_IN && status.share_permille == PERMILLE &&
	    status.complete)
		return;
	s->dcs = util_grow(s->dcs, s->dc_count + 1, sizeof(*s->dcs));
	s->dcs[s->dc_count++] = status;
	evacuation_status_text(&status, s->hosts, s->host_count, &text);
	/* The hosts that have not confirmed are listed once for all items. */
	buf_add(&s->text, text.data, strcspn(text.data, "\n") + 1);
}

static void add_rollout(void *ctx, const struct cfg_item *item)
{
	struct status *s = ctx;
	struct rollout_item r;
	struct err err = { 0 };
	uint32_t n = s->rollout_count;

	if (!item->json ||
	    cfg_json_decode_rollout(item->json, &r, &err) != ERR_OK)
		return;
	s->items = util_grow(s->items, n + 1, sizeof(*s->items));
	s->rollouts = util_grow(s->rollouts, n + 1, sizeof(*s->rollouts));
	s->items[n] = r;
	control_admin_rollout_internal(s->admin, &r, item->rev,
				       &s->rollouts[n]);
	s->rollout_count++;
	buf_addf(&s->text, "rollout of %s from %s to %s: %s, %u of 1000%s%s\n",
		 r.service, r.from, r.to, rollout_state_name(r.state),
		 s->rollouts[n].share_here_permille, r.reason[0] ? ": " : "",
		 r.reason);
}

static uint32_t count_live(const struct status *s)
{
	uint32_t live = 0;
	uint32_t i;

	for (i = 0; i < s->host_count; i++)
		live += s->hosts[i].contact == EVACUATION_CONTACT_LIVE;
	return live;
}

static void add_alarm(void *ctx, const struct slo_report *r)
{
	struct status *s = ctx;

	if (r->alarm)
		buf_addf(&s->text,
			 "ALARM: customer %s burns its budget at %" PRIu64
			 " times the allowed rate, mostly %s\n",
			 r->customer, r->fast_burn_milli / 1000, r->spent_by);
}

enum err_code control_admin_status(struct control_admin *a,
				   const struct admin_path *p,
				   struct admin_call *call, struct err *err)
{
	struct status s CLEANUP(status_clear) = { .admin = a };
	struct admin_json_status out = { .host = a->host,
					 .data_centre = a->data_centre,
					 .rev = a->ops->rev(a->ctx),
					 .store_up = (uint32_t)a->ops->store_up(
						 a->ctx) };
	uint32_t i;

	s.hosts = control_admin_hosts_internal(a, &s.host_count);
	buf_addf(&s.text,
		 "host %s in data centre %s: revision %" PRIu64 ", store %s, "
		 "%u of %u "
		 "known hosts "
		 "live\n",
		 a->host, a->data_centre, out.rev, out.store_up ? "up" : "down",
		 count_live(&s), s.host_count);
	evacuation_unconfirmed_text(out.rev, s.hosts, s.host_count, &s.text);
	evacuation_each(a->evacuation, add_dc, &s);
	a->ops->each_item(a->ctx, "rollout/", add_rollout, &s);
	slo_each(a->slo, a->ops->now_us(a->ctx), add_alarm, &s);
	for (i = 0; i < s.rollout_count; i++)
		s.rollouts[i].item = &s.items[i];
	out.hosts = s.hosts;
	out.host_count = s.host_count;
	out.dcs = s.dcs;
	out.dc_count = s.dc_count;
	out.rollouts = s.rollouts;
	out.rollout_count = s.rollout_count;
	out.text = s.text.data;
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    admin_json_status(&out));
}
