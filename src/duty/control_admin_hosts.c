/* Operators' calls on data centres and hosts; see control_admin.h. */
#include "duty/control_admin_internal.h"

#include <stdio.h>
#include <string.h>

#include "codec/cfg_json.h"

/* Indexed by enum host_state. */
static const enum evacuation_contact contacts[] = {
	[HOST_LIVE] = EVACUATION_CONTACT_LIVE,
	[HOST_SUSPECT] = EVACUATION_CONTACT_SUSPECT,
	[HOST_GONE] = EVACUATION_CONTACT_GONE,
	[HOST_LEAVING] = EVACUATION_CONTACT_LEAVING,
};

struct host_array {
	uint32_t count;
	struct evacuation_host *hosts;
};

static void add_member(void *ctx, const struct member_info *m)
{
	struct host_array *array = ctx;
	struct evacuation_host *h;

	array->hosts = util_grow(array->hosts, array->count + 1,
				 sizeof(*array->hosts));
	h = &array->hosts[array->count++];
	memset(h, 0, sizeof(*h));
	util_copy_str(h->host, sizeof(h->host), m->host);
	util_copy_str(h->data_centre, sizeof(h->data_centre), m->data_centre);
	h->contact = contacts[m->state];
	h->adopted_rev = m->config_rev;
}

struct evacuation_host *control_admin_hosts_internal(struct control_admin *a,
						     uint32_t *count)
{
	struct host_array array = { 0 };

	a->ops->each_member(a->ctx, add_member, &array);
	*count = array.count;
	return array.hosts;
}

struct target_walk {
	void (*fn)(void *ctx, const char *service, const struct target *t);
	void *ctx;
};

static void walk_layout(void *ctx, const struct cfg_item *item)
{
	struct target_walk *w = ctx;
	struct err err = { 0 };
	struct layout *layout =
		item->json ? cfg_json_decode_layout(item->json, &err) : NULL;
	uint32_t i;

	for (i = 0; layout && i < layout->target_count; i++)
		w->fn(w->ctx, layout->service, &layout->targets[i]);
	layout_free(layout);
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

/*
 * Search for the name in an operator's call among the known hosts and targets.
 */
struct name_search {
	struct control_admin *admin;
	/* What @name names: a data centre, or an entry host or target. */
	enum evacuation_kind kind;
	const char *name;
	/* 1 if a host or target has the name or is in the data centre. */
	uint32_t found;
	/* 1 if an entry host has the name or is in the data centre. */
	uint32_t is_entry;
	/* 1 if a live entry host outside of @name is in service. */
	uint32_t other_in;
};

static void check_target(void *ctx, const char *service, const struct target *t)
{
	struct name_search *search = ctx;
	const char *name = search->kind == EVACUATION_HOST ? t->id
							   : t->data_centre;

	search->found |= strcmp(name, search->name) == 0;
}

static void check_host(struct name_search *search,
		       const struct evacuation_host *h)
{
	struct control_admin *a = search->admin;
	const char *name = search->kind == EVACUATION_HOST ? h->host
							   : h->data_centre;

	if (strcmp(name, search->name) == 0) {
		search->found = search->is_entry = 1;
		return;
	}
	search->other_in |=
		h->contact == EVACUATION_CONTACT_LIVE &&
		!evacuation_host_is_out(a->evacuation, h->host) &&
		evacuation_share_permille(a->evacuation, h->data_centre,
					  a->ops->now_us(a->ctx)) > 0;
}

static void find_name(struct name_search *search)
{
	struct evacuation_host *hosts CLEANUP_FREE = NULL;
	uint32_t count;
	uint32_t i;

	hosts = control_admin_hosts_internal(search->admin, &count);
	for (i = 0; i < count; i++)
		check_host(search, &hosts[i]);
	control_admin_each_target_internal(search->admin, check_target, search);
}

static enum err_code reply_state(struct control_admin *a,
				 enum evacuation_kind kind, const char *name,
				 struct admin_call *call)
{
	struct buf text CLEANUP_BUF = { 0 };
	struct evacuation_host *hosts CLEANUP_FREE = NULL;
	struct evacuation_status status;
	uint32_t count;

	hosts = control_admin_hosts_internal(a, &count);
	evacuation_status(a->evacuation, a->ops->now_us(a->ctx), kind, name,
			  hosts, count, &status);
	evacuation_status_text(&status, hosts, count, &text);
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    admin_json_dc(&status, text.data));
}

static enum err_code check_found(const struct name_search *search,
				 struct err *err)
{
	if (search->found)
		return ERR_OK;
	if (search->kind == EVACUATION_HOST)
		return err_set(err, ERR_NOT_FOUND,
			       "%s is neither an entry host nor a target of an "
			       "index; 'ctl status' lists the hosts",
			       search->name);
	return err_set(err, ERR_NOT_FOUND,
		       "no host or target is in data centre %s; 'ctl status' "
		       "lists the hosts with their data centres",
		       search->name);
}

static enum err_code get_state(struct control_admin *a,
			       enum evacuation_kind kind, const char *name,
			       struct admin_call *call, struct err *err)
{
	struct name_search search = { .admin = a, .kind = kind, .name = name };
	enum err_code code;

	find_name(&search);
	code = check_found(&search, err);
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
	struct name_search search = { .admin = a,
				      .kind = EVACUATION_DATA_CENTRE,
				      .name = p->name };
	struct dc_item dc = { .is_out = strcmp(p->verb, "out") == 0 };
	char *json CLEANUP_FREE = NULL;
	char item[ITEM_NAME_BYTES];
	enum err_code code;

	find_name(&search);
	code = check_found(&search, err);
	if (code != ERR_OK)
		return code;
	if (dc.is_out && !search.other_in)
		return err_set(err, ERR_CFG_FIELD,
			       "state of %s is out, accepted while another "
			       "data centre is in and has a live host",
			       p->name);
	util_copy_str(dc.data_centre, sizeof(dc.data_centre), p->name);
	json = cfg_json_encode_dc(&dc);
	snprintf(item, sizeof(item), "dc/%s", p->name);
	return control_admin_edit_internal(a, item, json, p->if_rev, call, err);
}

enum err_code control_admin_host_set(struct control_admin *a,
				     const struct admin_path *p,
				     struct admin_call *call, struct err *err)
{
	struct name_search search = { .admin = a,
				      .kind = EVACUATION_HOST,
				      .name = p->name };
	struct host_item host = { .is_out = strcmp(p->verb, "out") == 0 };
	char *json CLEANUP_FREE = NULL;
	char item[ITEM_NAME_BYTES];
	enum err_code code;

	find_name(&search);
	code = check_found(&search, err);
	if (code != ERR_OK)
		return code;
	if (host.is_out && search.is_entry && !search.other_in)
		return err_set(err, ERR_CFG_FIELD,
			       "state of %s is out, accepted while another "
			       "entry host is live and in",
			       p->name);
	util_copy_str(host.host, sizeof(host.host), p->name);
	json = cfg_json_encode_host(&host);
	snprintf(item, sizeof(item), "host/%s", p->name);
	return control_admin_edit_internal(a, item, json, p->if_rev, call, err);
}
