/* State and functions that the control_admin*.c files share. */
#ifndef CONTROL_ADMIN_INTERNAL_H
#define CONTROL_ADMIN_INTERNAL_H

#include "duty/control_admin.h"
#include "codec/admin_json.h"
#include "model/change.h"
#include "model/layout.h"

/*
 * Changes that a host remembers, to report their state. All hosts together see
 * 4,500 changes a day.
 */
#define HISTORY_MAX 512

/* A change that took effect on this host. */
struct history_entry {
	uint64_t rev;
	char item[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	/*
	 * Content of a rollout item; rollout.to is empty for an item of another
	 * kind.
	 */
	struct rollout_item rollout;
	/* 1: the change deleted the item. */
	uint32_t deleted;
};

struct control_admin {
	char host[NAME_BYTES];
	char data_centre[NAME_BYTES];
	const struct control_admin_ops *ops;
	void *ctx;
	struct evacuation *evacuation;
	struct rollout *rollouts;
	struct slo *slo;
	/* Changes since the start; change i is in history[i % HISTORY_MAX]. */
	uint64_t history_total;
	struct history_entry history[HISTORY_MAX];
};

/* Path of a call, split at the slashes. */
struct admin_path {
	/* Copy of the path; the pointers below point into it. */
	char text[256];
	const char *collection;
	/* name, verb: NULL when the path has no such part. */
	const char *name;
	const char *verb;
	/* Number in "?if_rev=NUMBER"; 0 without one. */
	uint64_t if_rev;
};

/*
 * Handles a call of one route. Returns ERR_OK if it owns @call and has replied
 * or will reply, else the refusal in @err.
 */
typedef enum err_code admin_route_fn(struct control_admin *a,
				     const struct admin_path *p,
				     struct admin_call *call, struct err *err);

/* Replies with @json and frees @json and @call. Always returns ERR_OK. */
enum err_code control_admin_reply_internal(struct admin_call *call,
					   uint32_t http_status, char *json);
/* Submits an edit of @item; owns @call if it returns ERR_OK. */
enum err_code control_admin_edit_internal(struct control_admin *a,
					  const char *item, const char *json,
					  uint64_t if_rev,
					  struct admin_call *call,
					  struct err *err);
/* Entry hosts as the membership sees them; the caller frees the array. */
struct evacuation_host *control_admin_hosts_internal(struct control_admin *a,
						     uint32_t *count);
/* Calls @fn for each target of each layout in effect. */
void control_admin_each_target_internal(struct control_admin *a,
					void (*fn)(void *ctx,
						   const char *service,
						   const struct target *t),
					void *ctx);
/*
 * Fills @out with what this host knows of the rollout @item of revision @rev.
 */
void control_admin_rollout_internal(struct control_admin *a,
				    const struct rollout_item *item,
				    uint64_t rev,
				    struct admin_json_rollout *out);
/*
 * Fills @out with the state of the change that made @rev; change_clear() frees
 * its content. ERR_NOT_FOUND: this host does not know the change.
 */
enum err_code control_admin_change_internal(struct control_admin *a,
					    uint64_t rev, struct change *out,
					    struct err *err);

admin_route_fn control_admin_change_get;
admin_route_fn control_admin_changes_list;
admin_route_fn control_admin_dc_get;
admin_route_fn control_admin_dc_set;
admin_route_fn control_admin_host_get;
admin_route_fn control_admin_host_set;
admin_route_fn control_admin_version_get;
admin_route_fn control_admin_version_start;
admin_route_fn control_admin_version_abort;
admin_route_fn control_admin_status;

#endif
