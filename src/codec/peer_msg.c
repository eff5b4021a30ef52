#include "codec/peer_msg.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

/*
 * Memory for the items of a FETCH_CONFIG reply: a page of JSON text, or one
 * item of the largest size, and the other fields of each item.
 */
#define CONFIG_BYTES_MAX (PEER_JSON_MAX + 4 * 1048576)

static void fill_notice(struct target_notice *n, peer_notice *out)
{
	out->target = n->target;
	out->instance = n->instance;
	out->kind = (u_int)n->kind;
}

void peer_msg_from_rollout_report(struct rollout_report *r, peer_rollout *out)
{
	out->service = r->service;
	out->release = r->version;
	out->bad = r->is_bad;
	out->requests = r->requests;
	out->failures = r->failures;
	out->slow = r->slow;
}

static uint32_t heartbeat_bytes(peer_heartbeat *x)
{
	return PEER_MSG_CALL_HEADER_BYTES +
	       (uint32_t)xdr_sizeof((xdrproc_t)xdr_peer_heartbeat, x);
}

uint32_t peer_msg_from_heartbeat(struct heartbeat *h,
				 struct peer_msg_heartbeat *out)
{
	peer_heartbeat *x = &out->xdr;
	uint32_t bytes;
	uint32_t i;

	for (i = 0; i < h->notice_count; i++)
		fill_notice(&h->notices[i], &out->notices[i]);
	for (i = 0; i < h->rollout_count; i++)
		peer_msg_from_rollout_report(&h->rollouts[i],
					     &out->rollouts[i]);
	*x = (peer_heartbeat){
		.host = h->host,
		.data_centre = h->data_centre,
		.address = h->address,
		.port = h->port,
		.incarnation = h->incarnation,
		.sequence = h->sequence,
		.state = (u_int)h->state,
		.config_rev = h->config_rev,
		.config_change = h->config_change_id,
		.out_rev = h->evacuation_rev,
		.notices = { h->notice_count, out->notices },
		.rollouts = { h->rollout_count, out->rollouts },
	};
	bytes = heartbeat_bytes(x);
	while (bytes > HEARTBEAT_BYTES_MAX &&
	       (x->notices.notices_len || x->rollouts.rollouts_len)) {
		if (x->notices.notices_len)
			x->notices.notices_len--;
		else
			x->rollouts.rollouts_len--;
		bytes = heartbeat_bytes(x);
	}
	return bytes;
}

static enum err_code refuse(struct err *err, const char *field)
{
	return err_set(err, ERR_PEER_MESSAGE, "%s missing or out of range",
		       field);
}

static int address_ok(const char *address)
{
	unsigned char raw[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, address, raw) == 1 ||
	       inet_pton(AF_INET6, address, raw) == 1;
}

static enum err_code read_notices(const peer_heartbeat *x,
				  struct heartbeat *out, struct err *err)
{
	uint32_t i;

	if (x->notices.notices_len > HEARTBEAT_NOTICES_MAX)
		return refuse(err, "notices");
	for (i = 0; i < x->notices.notices_len; i++) {
		const peer_notice *n = &x->notices.notices_val[i];
		struct target_notice *t = &out->notices[i];

		if (!util_name_ok(n->target, NAME_BYTES - 1) ||
		    !util_copy_str(t->instance, sizeof(t->instance),
				   n->instance) ||
		    n->kind > TARGET_NOTICE_LEAVING)
			return refuse(err, "notices");
		util_copy_str(t->target, sizeof(t->target), n->target);
		t->kind = (enum target_notice_kind)n->kind;
	}
	out->notice_count = x->notices.notices_len;
	return ERR_OK;
}

int peer_msg_to_rollout_report(const peer_rollout *x,
			       struct rollout_report *out)
{
	if (!util_name_ok(x->service, NAME_BYTES - 1) ||
	    !util_name_ok(x->release, NAME_BYTES - 1) || x->bad > 1)
		return 0;
	util_copy_str(out->service, sizeof(out->service), x->service);
	util_copy_str(out->version, sizeof(out->version), x->release);
	out->is_bad = x->bad;
	out->requests = x->requests;
	out->failures = x->failures;
	out->slow = x->slow;
	return 1;
}

static enum err_code read_rollouts(const peer_heartbeat *x,
				   struct heartbeat *out, struct err *err)
{
	uint32_t i;

	if (x->rollouts.rollouts_len > HEARTBEAT_ROLLOUTS_MAX)
		return refuse(err, "rollouts");
	for (i = 0; i < x->rollouts.rollouts_len; i++) {
		if (!peer_msg_to_rollout_report(&x->rollouts.rollouts_val[i],
						&out->rollouts[i]))
			return refuse(err, "rollouts");
	}
	out->rollout_count = x->rollouts.rollouts_len;
	return ERR_OK;
}

enum err_code peer_msg_to_heartbeat(const peer_heartbeat *x,
				    struct heartbeat *out, struct err *err)
{
	memset(out, 0, sizeof(*out));
	if (!util_name_ok(x->host, NAME_BYTES - 1))
		return refuse(err, "host");
	if (!util_name_ok(x->data_centre, NAME_BYTES - 1))
		return refuse(err, "data_centre");
	if (!x->address || !address_ok(x->address))
		return refuse(err, "address");
	if (x->port < 1 || x->port > UINT16_MAX)
		return refuse(err, "port");
	if (x->state != HOST_LIVE && x->state != HOST_LEAVING)
		return refuse(err, "state");
	util_copy_str(out->host, sizeof(out->host), x->host);
	util_copy_str(out->data_centre, sizeof(out->data_centre),
		      x->data_centre);
	util_copy_str(out->address, sizeof(out->address), x->address);
	out->port = (uint16_t)x->port;
	out->incarnation = x->incarnation;
	out->sequence = x->sequence;
	out->state = (enum host_state)x->state;
	out->config_rev = x->config_rev;
	out->config_change_id = x->config_change;
	out->evacuation_rev = x->out_rev;
	if (read_notices(x, out, err) != ERR_OK)
		return ERR_PEER_MESSAGE;
	return read_rollouts(x, out, err);
}

void peer_msg_from_delta(const struct cfg_delta *d, peer_config *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->rev = d->rev;
	out->full = d->is_full;
	out->more = d->has_more;
	out->recent.recent_len = d->recent_count;
	out->recent.recent_val = util_alloc(d->recent_count, sizeof(u_quad_t));
	for (i = 0; i < d->recent_count; i++)
		out->recent.recent_val[i] = d->recent_change_ids[i];
	out->items.items_len = d->item_count;
	out->items.items_val = util_alloc(d->item_count, sizeof(peer_item));
	for (i = 0; i < d->item_count; i++) {
		struct cfg_item *item = d->items[i];
		peer_item *x = &out->items.items_val[i];

		x->name = item->name;
		x->rev = item->rev;
		x->change = item->change_id;
		x->who = item->who;
		x->deleted = !item->json;
		x->json = item->json ? item->json : "";
	}
}

void peer_msg_config_free(peer_config *x)
{
	free(x->recent.recent_val);
	free(x->items.items_val);
	memset(x, 0, sizeof(*x));
}

static struct cfg_item *read_item(const peer_config *page, const peer_item *x)
{
	if (!x->name || !cfg_item_name_ok(x->name) || x->rev < 1 ||
	    x->rev > page->rev || !x->who || strlen(x->who) >= WHO_BYTES ||
	    x->deleted > 1 || !x->json)
		return NULL;
	return cfg_item_new(x->name, x->rev, x->change, x->who,
			    x->deleted ? NULL : x->json);
}

struct cfg_delta *peer_msg_to_delta(const peer_config *x, struct err *err)
{
	struct cfg_delta *d = util_alloc(1, sizeof(*d));
	uint32_t n = x->items.items_len;
	uint32_t i;

	d->rev = x->rev;
	d->is_full = x->full != 0;
	d->has_more = x->more != 0;
	d->recent_count =
		util_min_u32(x->recent.recent_len, CFG_HEAD_RECENT_MAX);
	for (i = 0; i < d->recent_count; i++)
		d->recent_change_ids[i] = x->recent.recent_val[i];
	d->items = util_alloc(n, sizeof(*d->items));
	for (i = 0; i < n; i++) {
		d->items[i] = read_item(x, &x->items.items_val[i]);
		if (!d->items[i]) {
			refuse(err, "items");
			cfg_delta_free(d);
			return NULL;
		}
		d->item_count++;
	}
	if (d->rev <= INT64_MAX && d->recent_count <= d->rev)
		return d;
	refuse(err, "rev");
	cfg_delta_free(d);
	return NULL;
}

static bool_t decode_items_bounded(XDR *xdrs, peer_config *x)
{
	size_t used_bytes = 0;
	u_int n = 0;
	u_int i;

	if (!xdr_u_int(xdrs, &n) || n > PEER_ITEMS_MAX)
		return FALSE;
	x->items.items_val = util_alloc(n, sizeof(peer_item));
	for (i = 0; i < n; i++) {
		x->items.items_len = i + 1;
		if (!xdr_peer_item(xdrs, &x->items.items_val[i]))
			return FALSE;
		used_bytes += sizeof(struct cfg_item) +
			      strlen(x->items.items_val[i].json);
		if (used_bytes > CONFIG_BYTES_MAX)
			return FALSE;
	}
	return TRUE;
}

bool_t peer_msg_xdr_config(XDR *xdrs, peer_config *x)
{
	if (xdrs->x_op != XDR_DECODE)
		return xdr_peer_config(xdrs, x);
	return xdr_u_quad_t(xdrs, &x->rev) &&
	       xdr_array(xdrs, (char **)&x->recent.recent_val,
			 &x->recent.recent_len, PEER_RECENT_MAX,
			 sizeof(u_quad_t), (xdrproc_t)xdr_u_quad_t) &&
	       xdr_u_int(xdrs, &x->full) && xdr_u_int(xdrs, &x->more) &&
	       decode_items_bounded(xdrs, x);
}
