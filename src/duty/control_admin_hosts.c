/* Operators' calls on data centres and hosts; see control_admin.h. */
#include "duty/control_admin_internal.h"

#include <stdio.h>
#include <string.h>

#include "codec/cfg_json.h"

static const enum evacuation_contact contacts[] = {
	[HOST_LIVE] = EVACUATION_CONTACT_LIVE,
	[HOST_SUSPECT] = EVACUATION_CONTACT_SUSPECT,
	[HOST_GONE] = EVACUATION_CONTACT_GONE,
	[HOST_LEAVING] = EVACUATION_CONTACT_LEAVING,
};

struct host_list {
	uint32_t count;
	struct evacuation_host *hosts;
};

static void add_member(void *ctx, const struct member_info *m)
{
	struct host_list *l = ctx;
	struct evacuation_host *h;

	l->hosts = util_grow(l->hosts, l->count + 1, sizeof(*l->hosts));
	h = &l->hosts[l->count++];
	memset(h, 0, sizeof(*h));
	util_copy_str(h->host, sizeof(h->host), m->host);
	util_copy_str(h->data_centre, sizeof(h->data_centre), m->data_centre);
	h->contact = contacts[m->state];
	h->adopted_rev = m->config_rev;
}

struct evacuation_host *control_admin_hosts_internal(struct control_admin *a,
						     uint32_t *count)
{
	struct host_list l = { 0 };

	a->ops->each_member(a->ctx, add_member, &l);
	*count = l.count;
	return l.hosts;
}

struct target_walk {
	void (*fn)(void *ctx, const char *service, const struct target *t);
	void *ctx;
};

static void walk_layout(void *ctx, const struct cfg_item *item)
{
	struct target_walk *w = ctx;
	struct err err = { 0 };
	struct layout *l = item->json ? cfg_json_decode_layout(item->json, &err)
				      : NULL;
	uint32_t i;

	for (i = 0; l && i < l->target_count; i++)
		w->fn(w->ctx, l->service, &l->targets[i]);
	layout_free(l);
}

void control_admin_each_target_internal(struct control_admin *a,
					void (*fn)(void *ctx,
						   const char *service,
						   const struct target *t),
					void *ctx)
{
	struct target_walk w = { fn, ctx };

	a->ops->each_item(a->ctx, "layout/", walk_layout, &w);
}

/* What the names of an operator's call are compared with. */
struct known {
	struct control_admin *admin;
	enum evacuation_kind kind;
	const char *name;
	/* The name exists. */
	uint32_t found;
	/* The name is an entry host's. */
	uint32_t is_entry;
	/* A live entry host that is in, outside of what @name names. */
	uint32_t other_in;
};

static void check_target(void *ctx, const char *service, const struct target *t)
{
	struct known *k = ctx;
	const char *name = k->kind == EVACUATION_HOST ? t->id : t->data_centre;

	k->found |= strcmp(name, k->name) == 0;
}

static void check_host(struct known *k, const struct evacuation_host *h)
{
	struct control_admin *a = k->admin;
	const char *name = k->kind == EVACUATION_HOST ? h->host
						      : h->data_centre;

	if (strcmp(name, k->name) == 0) {
		k->found = k->is_entry = 1;
		return;
	}
	k->other_in |= h->contact == EVACUATION_CONTACT_LIVE &&
		       !evacuation_host_is_out(a->evacuation, h->host) &&
		       evacuation_share_permille(a->evacuation, h->data_centre,
						 a->ops->now_us(a->ctx)) > 0;
}

static void look_up(struct known *k)
{
	struct evacuation_host *hosts CLEANUP_FREE = NULL;
	uint32_t count;
	uint32_t i;

	hosts = control_admin_hosts_internal(k->admin, &count);
	for (i = 0; i < count; i++)
		check_host(k, &hosts[i]);
	control_admin_each_target_internal(k->admin, check_target, k);
}

static enum err_code reply_state(struct control_admin *a,
				 enum evacuation_kind kind, const char *name,
				 struct admin_call *call)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct evacuation_host *hosts CLEANUP_FREE = NULL;
	struct evacuation_status s;
	uint32_t count;

	hosts = control_admin_hosts_internal(a, &count);
	evacuation_status(a->evacuation, a->ops->now_us(a->ctx), kind, name,
			  hosts, count, &s);
	evacuation_status_text(&s, hosts, count, &text);
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    admin_json_dc(&s, text.data));
}

static enum err_code not_known(const struct known *k, struct err *err)
{
	if (k->found)
		return ERR_OK;
	if (k->kind == EVACUATION_HOST)
		return err_set(err, ERR_NOT_FOUND,
			       "%s is neither an entry host nor a target of an "
			       "index; 'ctl status' lists the hosts",
			       k->name);
	return err_set(err, ERR_NOT_FOUND,
		       "no host or target is in data centre %s; 'ctl status' "
		       "lists the hosts with their data centres",
		       k->name);
}

static enum err_code get_state(struct control_admin *a,
			       enum evacuation_kind kind, const char *name,
			       struct admin_call *call, struct err *err)
{
	struct known k = { .admin = a, .kind = kind, .name = name };
	enum err_code code;

	look_up(&k);
	code = not_known(&k, err);
	return code == ERR_OK ? reply_state(a, kind, name, call) : code;
}

enum err_code control_admin_dc_get(struct control_admin *a,
				   const struct admin_path *p,
				   struct admin_call *call, struct err *err)
{
	return get_state(a, EVACUATION_DATA_CENTRE, p->name, call, err);
}

enum err_code control_admin_host_get(struct control_admin *a,
				     const struct admin_path *p,
				     struct admin_call *call, struct err *err)
{
	return get_state(a, EVACUATION_HOST, p->name, call, err);
}

enum err_code control_admin_dc_set(struct control_admin *a,
				   const struct admin_path *p,
				   struct admin_call *call, struct err *err)
{
	struct known k = { .admin = a,
			   .kind = EVACUATION_DATA_CENTRE,
			   .name = p->name };
	struct dc_item d = { .is_out = strcmp(p->verb, "out") == 0 };
	char *json CLEANUP_FREE = NULL;
	char item[ITEM_NAME_BYTES];
	enum err_code code;

	look_up(&k);
	code = not_known(&k, err);
	if (code != ERR_OK)
		return code;
	if (d.is_out && !k.other_in)
		return err_set(err, ERR_CFG_FIELD,
			       "state of %s is out, accepted while another "
			       "data centre is in and has a live host",
			       p->name);
	util_copy_str(d.data_centre, sizeof(d.data_centre), p->name);
	json = cfg_json_encode_dc(&d);
	snprintf(item, sizeof(item), "dc/%s", p->name);
	return control_admin_edit_internal(a, item, json, p->if_rev, call, err);
}

enum err_code control_admin_host_set(struct control_admin *a,
				     const struct admin_path *p,
				     struct admin_call *call, struct err *err)
{
	struct known k = { .admin = a,
			   .kind = EVACUATION_HOST,
			   .name = p->name };
	struct host_item h = { .is_out = strcmp(p->verb, "out") == 0 };
	char *json CLEANUP_FREE = NULL;
	char item[ITEM_NAME_BYTES];
	enum err_code code;

	look_up(&k);
	code = not_known(&k, err);
	if (code != ERR_OK)
		return code;
	if (h.is_out && k.is_entry && !k.other_in)
		return err_set(err, ERR_CFG_FIELD,
			       "state of %s is out, accepted while another "
			       "entry host is live and in",
			       p->name);
	util_copy_str(h.host, sizeof(h.host), p->name);
	json = cfg_json_encode_host(&h);
	snprintf(item, sizeof(item), "host/%s", p->name);
	return control_admin_edit_internal(a, item, json, p->if_rev, call, err);
}
