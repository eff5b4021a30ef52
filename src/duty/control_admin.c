#include "duty/control_admin.h"

#include <stdio.h>
#include <string.h>

#include "codec/admin_json.h"
#include "codec/cfg_json.h"
#include "duty/control_admin_internal.h"

struct control_admin *
control_admin_new(const char *host, const char *data_centre,
		  const struct control_admin_ops *ops, void *ctx,
		  struct evacuation *evacuation, struct rollout *rollouts,
		  struct slo *slo)
{
	struct control_admin *a = util_alloc(1, sizeof(*a));

	util_copy_str(a->host, sizeof(a->host), host);
	util_copy_str(a->data_centre, sizeof(a->data_centre), data_centre);
	a->ops = ops;
	a->ctx = ctx;
	a->evacuation = evacuation;
	a->rollouts = rollouts;
	a->slo = slo;
	return a;
}

void control_admin_free(struct control_admin *a)
{
	free(a);
}

enum err_code control_admin_reply_internal(struct admin_call *call,
					   uint32_t http_status, char *json)
{
	call->reply(call->reply_ctx, http_status, json);
	free(json);
	admin_call_free(call);
	return ERR_OK;
}

static enum err_code reply_ok(struct admin_call *call, char *json)
{
	return control_admin_reply_internal(call, err_http_status(ERR_OK),
					    json);
}

/* A call whose edit has been submitted and has no result yet. */
struct pending_edit {
	struct control_admin *admin;
	struct admin_call *call;
	char item[ITEM_NAME_BYTES];
};

static void log_edit(struct control_admin *a, const struct admin_call *call,
		     const char *item, const struct err *err, uint64_t rev)
{
	struct buf text CLEANUP_BUF = { 0 };

	buf_addf(&text, "%s %s by %s: ", call->method, item, call->who);
	if (err->code == ERR_OK)
		buf_addf(&text, "accepted as revision %llu",
			 (unsigned long long)rev);
	else
		buf_addf(&text, "%s, %s", err_name(err->code), err->detail);
	a->ops->log(a->ctx, "admin_change", text.data);
}

static void reply_change(struct pending_edit *edit, uint64_t rev)
{
	struct change change = { 0 };
	struct err err = { 0 };

	if (control_admin_change_internal(edit->admin, rev, &change, &err) !=
	    ERR_OK) {
		/*
		 * The edit was accepted, but is not in effect on this host yet.
		 */
		change.rev = rev;
		util_copy_str(change.item, sizeof(change.item), edit->item);
		util_copy_str(change.who, sizeof(change.who), edit->call->who);
		buf_addf(&change.statement, "accepted as revision %llu\n",
			 (unsigned long long)rev);
	}
	reply_ok(edit->call, admin_json_change(&change));
	change_clear(&change);
}

static void edit_done(void *ctx, const struct err *err, uint64_t rev)
{
	struct pending_edit *edit CLEANUP_FREE = ctx;

	log_edit(edit->admin, edit->call, edit->item, err, rev);
	if (err->code == ERR_OK)
		reply_change(edit, rev);
	else
		control_admin_reply_internal(edit->call,
					     err_http_status(err->code),
					     admin_json_error(err));
}

enum err_code control_admin_edit_internal(struct control_admin *a,
					  const char *item, const char *json,
					  uint64_t if_rev,
					  struct admin_call *call,
					  struct err *err)
{
	struct pending_edit *edit = util_alloc(1, sizeof(*edit));
	enum err_code code;

	edit->admin = a;
	edit->call = call;
	util_copy_str(edit->item, sizeof(edit->item), item);
	code = a->ops->edit(a->ctx, item, json, call->who, if_rev, edit_done,
			    edit, err);
	if (code == ERR_OK)
		return ERR_OK;
	log_edit(a, call, item, err, 0);
	free(edit);
	return code;
}

static const char *item_kind(const struct admin_path *p)
{
	return strcmp(p->collection, "contracts") == 0 ? "contract" : "layout";
}

static void item_name(const struct admin_path *p, char *out)
{
	snprintf(out, ITEM_NAME_BYTES, "%s/%s", item_kind(p),
		 p->name ? p->name : "");
}

static void add_item(void *ctx, const struct cfg_item *item)
{
	if (item->json)
		admin_json_list_add_item(ctx, item);
}

static enum err_code items_list(struct control_admin *a,
				const struct admin_path *p,
				struct admin_call *call, struct err *err)
{
	struct admin_json_list *list = admin_json_list_new(p->collection);
	char prefix[ITEM_NAME_BYTES];

	item_name(p, prefix);
	a->ops->each_item(a->ctx, prefix, add_item, list);
	return reply_ok(call, admin_json_list_finish(list));
}

static enum err_code item_get(struct control_admin *a,
			      const struct admin_path *p,
			      struct admin_call *call, struct err *err)
{
	const struct cfg_item *item;
	char name[ITEM_NAME_BYTES];

	item_name(p, name);
	item = a->ops->item(a->ctx, name);
	if (!item || !item->json)
		return err_set(err, ERR_NOT_FOUND, "no %s in effect", name);
	return reply_ok(call, admin_json_item(item));
}

static enum err_code item_put(struct control_admin *a,
			      const struct admin_path *p,
			      struct admin_call *call, struct err *err)
{
	const char *json = call->body ? call->body : "";
	char name[ITEM_NAME_BYTES];
	enum err_code code;

	item_name(p, name);
	code = cfg_json_check_item(name, json, err);
	if (code != ERR_OK)
		return code;
	return control_admin_edit_internal(a, name, json, p->if_rev, call, err);
}

static enum err_code item_delete(struct control_admin *a,
				 const struct admin_path *p,
				 struct admin_call *call, struct err *err)
{
	const struct cfg_item *item;
	char name[ITEM_NAME_BYTES];

	item_name(p, name);
	item = a->ops->item(a->ctx, name);
	if (!item || !item->json)
		return err_set(err, ERR_NOT_FOUND, "no %s in effect", name);
	return control_admin_edit_internal(a, name, NULL, p->if_rev, call, err);
}

static enum err_code item_validate(struct control_admin *a,
				   const struct admin_path *p,
				   struct admin_call *call, struct err *err)
{
	char name[ITEM_NAME_BYTES];
	enum err_code code;

	item_name(p, name);
	code = cfg_json_check_item(name, call->body ? call->body : "", err);
	if (code != ERR_OK)
		return code;
	return reply_ok(call, admin_json_valid_answer());
}

static enum err_code item_diff(struct control_admin *a,
			       const struct admin_path *p,
			       struct admin_call *call, struct err *err)
{
	const struct cfg_item *item;
	struct admin_json_list *list;
	char name[ITEM_NAME_BYTES];
	enum err_code code;

	item_name(p, name);
	code = cfg_json_check_item(name, call->body ? call->body : "", err);
	if (code != ERR_OK)
		return code;
	item = a->ops->item(a->ctx, name);
	list = admin_json_list_new("differences");
	code = admin_json_list_compare(list, item ? item->json : NULL,
				       call->body, err);
	if (code == ERR_OK)
		return reply_ok(call, admin_json_list_finish(list));
	admin_json_list_free(list);
	return code;
}

static void add_slo(void *ctx, const struct slo_report *r)
{
	admin_json_list_add_slo(ctx, r);
}

static enum err_code report_get(struct control_admin *a,
				const struct admin_path *p,
				struct admin_call *call, struct err *err)
{
	int64_t now_us = a->ops->now_us(a->ctx);
	struct admin_json_list *list;
	struct slo_report r;
	enum err_code code;

	if (p->name) {
		code = slo_report(a->slo, now_us, p->name, &r, err);
		if (code != ERR_OK)
			return code;
		list = admin_json_list_new("customers");
		admin_json_list_add_slo(list, &r);
	} else {
		list = admin_json_list_new("customers");
		slo_each(a->slo, now_us, add_slo, list);
	}
	return reply_ok(call, admin_json_list_finish(list));
}

/* Path of a route: COLLECTION, COLLECTION/NAME or COLLECTION/NAME/VERB. */
enum route_shape { SHAPE_LIST, SHAPE_NAME, SHAPE_VERB };

struct admin_route {
	const char *method;
	const char *collection;
	enum route_shape shape;
	/* NULL unless the shape is SHAPE_VERB. */
	const char *verb;
	admin_route_fn *fn;
};

/* DEF(method, collection, shape, verb, function) */
#define ITEM_ROUTES(DEF, collection)                                   \
	DEF("GET", collection, SHAPE_LIST, NULL, items_list)           \
	DEF("GET", collection, SHAPE_NAME, NULL, item_get)             \
	DEF("PUT", collection, SHAPE_NAME, NULL, item_put)             \
	DEF("DELETE", collection, SHAPE_NAME, NULL, item_delete)       \
	DEF("POST", collection, SHAPE_VERB, "validate", item_validate) \
	DEF("POST", collection, SHAPE_VERB, "diff", item_diff)
#define ROUTES(DEF)                                                          \
	ITEM_ROUTES(DEF, "contracts")                                        \
	ITEM_ROUTES(DEF, "indexes")                                          \
	DEF("GET", "data-centres", SHAPE_NAME, NULL, control_admin_dc_get)   \
	DEF("POST", "data-centres", SHAPE_VERB, "out", control_admin_dc_set) \
	DEF("POST", "data-centres", SHAPE_VERB, "in", control_admin_dc_set)  \
	DEF("GET", "hosts", SHAPE_NAME, NULL, control_admin_host_get)        \
	DEF("POST", "hosts", SHAPE_VERB, "out", control_admin_host_set)      \
	DEF("POST", "hosts", SHAPE_VERB, "in", control_admin_host_set)       \
	DEF("GET", "versions", SHAPE_NAME, NULL, control_admin_version_get)  \
	DEF("POST", "versions", SHAPE_VERB, "start",                         \
	    control_admin_version_start)                                     \
	DEF("POST", "versions", SHAPE_VERB, "abort",                         \
	    control_admin_version_abort)                                     \
	DEF("GET", "status", SHAPE_LIST, NULL, control_admin_status)         \
	DEF("GET", "changes", SHAPE_LIST, NULL, control_admin_changes_list)  \
	DEF("GET", "changes", SHAPE_NAME, NULL, control_admin_change_get)    \
	DEF("GET", "report", SHAPE_LIST, NULL, report_get)                   \
	DEF("GET", "report", SHAPE_NAME, NULL, report_get)

static const struct admin_route routes[] = {
#define DEF(method, collection, shape, verb, fn) \
	{ method, collection, shape, verb, fn },
	ROUTES(DEF)
#undef DEF
};

static enum err_code parse_query(const char *query, struct admin_path *out,
				 struct err *err)
{
	char *end;

	if (!query)
		return ERR_OK;
	if (strncmp(query, "if_rev=", 7) != 0 || query[7] < '0' ||
	    query[7] > '9')
		return err_set(err, ERR_BAD_FIELD,
			       "query is '%s', accepted if_rev=NUMBER", query);
	out->if_rev = strtoull(query + 7, &end, 10);
	if (*end)
		return err_set(err, ERR_BAD_FIELD,
			       "if_rev is '%s', accepted a revision number",
			       query + 7);
	return ERR_OK;
}

static enum err_code parse_path(const char *path, struct admin_path *out,
				struct err *err)
{
	char *query;
	char *save = NULL;

	memset(out, 0, sizeof(*out));
	util_copy_str(out->text, sizeof(out->text), path);
	query = strchr(out->text, '?');
	if (query)
		*query++ = '\0';
	out->collection = strtok_r(out->text, "/", &save);
	out->name = strtok_r(NULL, "/", &save);
	out->verb = strtok_r(NULL, "/", &save);
	if (!out->collection || strtok_r(NULL, "/", &save))
		return err_set(err, ERR_NOT_FOUND,
			       "no resource at this path, see docs/ADMIN.md");
	if (out->name && !util_name_ok(out->name, NAME_BYTES - 1))
		return err_set(err, ERR_BAD_FIELD,
			       "name in the path is not valid, accepted 1 to "
			       "64 of a-z A-Z 0-9 . _ : -");
	return parse_query(query, out, err);
}

static enum route_shape shape_of(const struct admin_path *p)
{
	if (p->verb)
		return SHAPE_VERB;
	return p->name ? SHAPE_NAME : SHAPE_LIST;
}

static int route_matches(const struct admin_route *r,
			 const struct admin_path *p)
{
	if (r->shape != shape_of(p) ||
	    strcmp(r->collection, p->collection) != 0)
		return 0;
	return !p->verb || !r->verb || strcmp(r->verb, p->verb) == 0;
}

static enum err_code dispatch(struct control_admin *a, struct admin_call *call,
			      struct err *err)
{
	struct buf methods CLEANUP_BUF = { 0 };
	struct admin_path p;
	enum err_code code = parse_path(call->path, &p, err);
	uint32_t i;

	if (code != ERR_OK)
		return code;
	for (i = 0; i < countof(routes); i++) {
		if (!route_matches(&routes[i], &p))
			continue;
		if (strcmp(routes[i].method, call->method) == 0)
			return routes[i].fn(a, &p, call, err);
		buf_addf(&methods, " %s", routes[i].method);
	}
	if (methods.data)
		return err_set(err, ERR_METHOD, "method %s, accepted%s",
			       call->method, methods.data);
	return err_set(err, ERR_NOT_FOUND,
		       "no resource at this path, see docs/ADMIN.md");
}

void control_admin_call(struct control_admin *a, struct admin_call *call)
{
	struct err err = { 0 };

	if (dispatch(a, call, &err) != ERR_OK)
		control_admin_reply_internal(call, err_http_status(err.code),
					     admin_json_error(&err));
}
