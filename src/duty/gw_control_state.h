/* State of the gateway's control duty that its files share. */
#ifndef GW_CONTROL_STATE_H
#define GW_CONTROL_STATE_H

#include <glib.h>

#include "controller/dsc.h"
#include "controller/flw.h"
#include "controller/sst.h"
#include "duty/duty.h"
#include "duty/gw_control.h"
#include "duty/messages.h"
#include "duty/relay.h"

/* Every other call to the store but a watch. */
#define CALL_MS 2000

/* Tokens of the calls to the store. */
enum call_id { CALL_WATCH, CALL_READ, CALL_LEASE, CALL_REGISTER, CALL_RENEW };

struct gw_control {
	struct duty *duty;
	struct gw_control_options opt;
	struct sst *state;
	struct flw *follow;
	/* Time at which the state was known to be the store's. */
	int64_t fresh_us;
	/* Time at which the store came back into reach; 0: not lately. */
	int64_t returned_us;
	/* The last call to the store failed. */
	int is_lost;
	/* Calls in flight. */
	int is_watching;
	int is_reading;
	int is_following;
	/* Next watch or call to another host, and the freshness limit. */
	struct tmr_sub next_timer;
	struct tmr_sub fresh_timer;
	/* struct follow_call of other hosts that are held. */
	GPtrArray *held;
	struct route_config *config;
	struct dsc *dsc;
	/* Host name to the time it was last seen gone; 0 while present. */
	GHashTable *hosts;
	uint64_t lease;
	struct tmr_sub lease_timer;
	/* Armed when the view is to be published, once for a batch of changes. */
	struct tmr_sub publish_timer;
};

/* Sends a call to the store duty. */
void gw_control_store(struct gw_control *c, const struct kv_call *call,
		      enum call_id token);
/* Handles one key that was written or deleted. */
void gw_control_pair(struct gw_control *c, const struct kv_pair *p,
		     int64_t now_us);

/* Source: where changes of the store come from. */
void gw_source_start(struct gw_control *c, int64_t now_us);
void gw_source_watched(struct gw_control *c, const struct kv_result *r,
		       int64_t now_us);
void gw_source_read(struct gw_control *c, const struct kv_result *r,
		    int64_t now_us);
void gw_source_followed(struct gw_control *c, const struct followed *f,
			int64_t now_us);
/* Takes over @call. */
void gw_source_hold(struct gw_control *c, struct follow_call *call,
		    int64_t now_us);
void gw_source_free(struct gw_control *c);

/* Register: this host's entry in the store. */
void gw_register_start(struct gw_control *c, int64_t now_us);
void gw_register_leased(struct gw_control *c, const struct kv_result *r,
			int64_t now_us);
void gw_register_written(struct gw_control *c, const struct kv_result *r,
			 int64_t now_us);
void gw_register_renewed(struct gw_control *c, const struct kv_result *r,
			 int64_t now_us);

#endif
