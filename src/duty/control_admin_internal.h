/* Parts shared by the files of the operators' calls; see control_admin.h. */
#ifndef CONTROL_ADMIN_INTERNAL_H
#define CONTROL_ADMIN_INTERNAL_H

#include "duty/control_admin.h"
#include "codec/admin_json.h"
#include "model/change.h"
#include "model/layout.h"

/* Changes whose outcome a host can tell; a day has 4,500 in the whole fleet. */
#define HISTORY_MAX 512

struct history_entry {
	uint64_t rev;
	char item[ITEM_NAME_BYTES];
	char who[WHO_BYTES];
	/* Of a rollout item; rollout.to is empty for another item. */
	struct rollout_item rollout;
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
	/* Entry i % HISTORY_MAX; @history_count grows without limit. */
	uint64_t history_total;
	struct history_entry history[HISTORY_MAX];
};

/* One call with its path cut at the slashes. */
struct admin_path {
	/* Copy of the path that the parts point into. */
	char text[256];
	const char *collection;
	/* NULL when absent. */
	const char *name;
	const char *verb;
	/* From "?if_rev=N"; 0 without. */
	uint64_t if_rev;
};

/*
 * Handles a call of one route. Returns ERR_OK when it has replied or will
 * reply and owns @call, else the refusal in @err.
 */
typedef enum err_code admin_route_fn(struct control_admin *a,
				     const struct admin_path *p,
				     struct admin_call *call, struct err *err);

/* Replies with @json and frees it and @call. Always ERR_OK. */
enum err_code control_admin_reply_internal(struct admin_call *call,
					   uint32_t http_status, char *json);
/* Submits an edit and takes over @call when it returns ERR_OK. */
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
/* What this host knows of the rollout @item of revision @rev. */
void control_admin_rollout_internal(struct control_admin *a,
				    const struct rollout_item *item,
				    uint64_t rev,
				    struct admin_json_rollout *out);
/* Fills @out, which change_clear() clears. */
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
