#include "fake_control.h"

#include <glib.h>
#include <string.h>

#include "codec/cfg_json.h"

/* Wall clock, which stands still. */
#define WALL_MS 1700000000000LL

static const struct cfg_item *find_item(void *ctx, const char *name)
{
	struct fake_control *f = ctx;
	uint32_t i;

	for (i = 0; i < f->item_count; i++) {
		if (strcmp(f->items[i]->name, name) == 0)
			return f->items[i];
	}
	return NULL;
}

static void store_item(struct fake_control *f, struct cfg_item *item)
{
	uint32_t i;

	for (i = 0; i < f->item_count; i++) {
		if (strcmp(f->items[i]->name, item->name) == 0) {
			cfg_item_unref(f->items[i]);
			f->items[i] = item;
			return;
		}
	}
	g_assert_cmpuint(f->item_count, <, FAKE_ITEMS_MAX);
	f->items[f->item_count++] = item;
}

static void apply_dc(struct fake_control *f, const struct cfg_item *item)
{
	struct dc_item d;
	struct err err;

	if (item->json && cfg_json_decode_dc(item->json, &d, &err) == ERR_OK)
		evacuation_apply(f->evacuation, f->now_us,
				 EVACUATION_DATA_CENTRE, d.data_centre,
				 d.is_out ? EVACUATION_OUT : EVACUATION_IN,
				 item->rev);
}

static void apply_host(struct fake_control *f, const struct cfg_item *item)
{
	struct host_item h;
	struct err err;

	if (item->json && cfg_json_decode_host(item->json, &h, &err) == ERR_OK)
		evacuation_apply(f->evacuation, f->now_us, EVACUATION_HOST,
				 h.host,
				 h.is_out ? EVACUATION_OUT : EVACUATION_IN,
				 item->rev);
}

static void apply_rollout(struct fake_control *f, const struct cfg_item *item)
{
	struct rollout_item r;
	struct err err = { 0 };

	if (item->json &&
	    cfg_json_decode_rollout(item->json, &r, &err) == ERR_OK)
		rollout_on_item(f->rollout, f->now_us, WALL_MS, &r, item->rev,
				&err);
}

void fake_control_put(struct fake_control *f, const char *name,
		      const char *json, const char *who)
{
	struct cfg_item *item = cfg_item_new(name, ++f->rev, 0, who, json);

	store_item(f, item);
	f->members[0].config_rev = f->rev;
	control_admin_record_change(f->admin, item);
	if (g_str_has_prefix(name, "dc/"))
		apply_dc(f, item);
	if (g_str_has_prefix(name, "host/"))
		apply_host(f, item);
	if (g_str_has_prefix(name, "rollout/"))
		apply_rollout(f, item);
}

static enum err_code edit(void *ctx, const char *item, const char *json,
			  const char *who, uint64_t if_rev,
			  control_admin_done_fn *done, void *done_ctx,
			  struct err *err)
{
	struct fake_control *f = ctx;
	const struct cfg_item *now = find_item(f, item);
	struct err none = { 0 };

	if (if_rev && (!now || now->rev != if_rev))
		return err_set(err, ERR_CFG_RACE, "%s is at revision %d", item,
			       now ? (int)now->rev : 0);
	if (f->edit_result.code != ERR_OK) {
		done(done_ctx, &f->edit_result, 0);
		return ERR_OK;
	}
	fake_control_put(f, item, json, who);
	done(done_ctx, &none, f->rev);
	return ERR_OK;
}

static void each_item(void *ctx, const char *prefix,
		      void (*fn)(void *fn_ctx, const struct cfg_item *item),
		      void *fn_ctx)
{
	struct fake_control *f = ctx;
	uint32_t i;

	for (i = 0; i < f->item_count; i++) {
		if (g_str_has_prefix(f->items[i]->name, prefix))
			fn(fn_ctx, f->items[i]);
	}
}

static void each_member(void *ctx,
			void (*fn)(void *fn_ctx, const struct member_info *m),
			void *fn_ctx)
{
	struct fake_control *f = ctx;
	uint32_t i;

	for (i = 0; i < f->member_count; i++)
		fn(fn_ctx, &f->members[i]);
}

static uint64_t rev(void *ctx)
{
	struct fake_control *f = ctx;

	return f->rev;
}

static int store_up(void *ctx)
{
	struct fake_control *f = ctx;

	return f->edit_result.code == ERR_OK;
}

static int64_t now_us(void *ctx)
{
	struct fake_control *f = ctx;

	return f->now_us;
}

static int64_t wall_ms(void *ctx)
{
	return WALL_MS;
}

static void log_line(void *ctx, const char *event, const char *text)
{
	struct fake_control *f = ctx;

	buf_addf(&f->log, "log %s: %s\n", event, text);
}

static const struct control_admin_ops ops = {
	.edit = edit,
	.item = find_item,
	.each_item = each_item,
	.each_member = each_member,
	.rev = rev,
	.store_up = store_up,
	.now_us = now_us,
	.wall_ms = wall_ms,
	.log = log_line,
};

static void on_grant(void *ctx, uint32_t call, uint32_t ttl_ms)
{
}

static void on_lease(void *ctx, uint32_t call, uint64_t lease)
{
}

static void on_revoke(void *ctx, uint64_t lease)
{
}

static int on_write(void *ctx, const struct rollout_item *item, uint64_t if_rev)
{
	return 0;
}

static void on_changed(void *ctx)
{
}

static void on_note(void *ctx, const char *service, const char *text)
{
}

/*
 * Callbacks without effect: the host that gets the calls is never the leader.
 */
static const struct rollout_ops rollout_fake_ops = {
	.leadership = { on_grant, on_lease, on_lease, on_revoke },
	.write_item = on_write,
	.shares_changed = on_changed,
	.note = on_note,
};

struct fake_control *fake_control_new(void)
{
	struct fake_control *f = util_alloc(1, sizeof(*f));

	f->evacuation = evacuation_new();
	f->rollout = rollout_new("h1", 1, &rollout_fake_ops, f);
	f->slo = slo_new();
	f->admin = control_admin_new("h1", "a", &ops, f, f->evacuation,
				     f->rollout, f->slo);
	fake_control_member(f, "h1", "a", HOST_LIVE, 0);
	return f;
}

void fake_control_free(struct fake_control *f)
{
	uint32_t i;

	for (i = 0; i < f->item_count; i++)
		cfg_item_unref(f->items[i]);
	control_admin_free(f->admin);
	evacuation_free(f->evacuation);
	rollout_free(f->rollout);
	slo_free(f->slo);
	buf_free(&f->log);
	free(f);
}

void fake_control_member(struct fake_control *f, const char *host,
			 const char *data_centre, enum host_state state,
			 uint64_t config_rev)
{
	struct member_info *m;
	uint32_t i;

	for (i = 0; i < f->member_count; i++) {
		if (strcmp(f->members[i].host, host) == 0)
			break;
	}
	g_assert_cmpuint(i, <, FAKE_MEMBERS_MAX);
	m = &f->members[i];
	f->member_count = util_max_u32(f->member_count, i + 1);
	util_copy_str(m->host, NAME_BYTES, host);
	util_copy_str(m->data_centre, NAME_BYTES, data_centre);
	m->state = state;
	m->config_rev = config_rev;
}

struct reply {
	uint32_t http_status;
	struct buf *json;
};

static void take_reply(void *ctx, uint32_t http_status, const char *json)
{
	struct reply *r = ctx;

	r->http_status = http_status;
	buf_addf(r->json, "%s", json);
}

uint32_t fake_control_call(struct fake_control *f, const char *method,
			   const char *path, const char *body, struct buf *json)
{
	struct admin_call *call = util_alloc(1, sizeof(*call));
	struct reply r = { .json = json };

	util_copy_str(call->method, sizeof(call->method), method);
	util_copy_str(call->path, sizeof(call->path), path);
	util_copy_str(call->who, sizeof(call->who), "ana@127.0.0.1");
	call->body = body ? util_strdup(body) : NULL;
	call->reply = take_reply;
	call->reply_ctx = &r;
	control_admin_call(f->admin, call);
	g_assert_cmpuint(r.http_status, !=, 0);
	return r.http_status;
}
