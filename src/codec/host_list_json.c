#include "codec/host_list_json.h"

#include <string.h>

#include "codec/cfg_json.h"

/* Twice the planned number of hosts and targets. */
#define HOSTS_MAX 32768

/*
 * Sets @out to 0 if the field is @no and to 1 if it is @yes. Returns 0 if it is
 * neither, otherwise 1.
 */
static int read_choice(const json_t *obj, const char *field, const char *no,
		       const char *yes, uint32_t *out)
{
	const char *s = json_string_value(json_object_get(obj, field));

	*out = s && strcmp(s, yes) == 0;
	return s && (*out || strcmp(s, no) == 0);
}

static int read_host(const json_t *obj, struct listed_host *h)
{
	uint32_t port = 0;

	if (cfg_json_get_text(obj, "id", h->id, sizeof(h->id), NULL) ||
	    cfg_json_get_text(obj, "address", h->address, sizeof(h->address),
			      NULL) ||
	    cfg_json_get_u32(obj, "port", 1, UINT16_MAX, -1, &port, NULL) ||
	    cfg_json_get_text(obj, "data_centre", h->data_centre,
			      sizeof(h->data_centre), NULL))
		return 0;
	h->port = (uint16_t)port;
	return util_name_ok(h->id, NAME_BYTES - 1) &&
	       util_name_ok(h->data_centre, NAME_BYTES - 1) &&
	       read_choice(obj, "role", "target", "entry", &h->is_entry_host) &&
	       read_choice(obj, "state", "live", "leaving", &h->is_leaving);
}

struct host_list *host_list_json_decode(const char *text, uint32_t *refused,
					struct err *err)
{
	json_t *obj = cfg_json_load(text, err);
	const json_t *hosts = json_object_get(obj, "hosts");
	size_t n = json_array_size(hosts);
	struct host_list *l = NULL;
	size_t i;

	if (refused)
		*refused = 0;
	if (obj && (!json_is_array(hosts) || n > HOSTS_MAX)) {
		err_set(err, ERR_CFG_FIELD,
			"hosts has %zu entries or is missing, accepted 0 to %u",
			n, HOSTS_MAX);
	} else if (obj) {
		l = util_alloc(1, sizeof(*l));
		cfg_json_get_u64(obj, "revision", 0, INT64_MAX, 0, &l->rev,
				 NULL);
		l->hosts = util_alloc(n, sizeof(*l->hosts));
		for (i = 0; i < n; i++) {
			struct listed_host *h = &l->hosts[l->count];

			memset(h, 0, sizeof(*h));
			if (read_host(json_array_get(hosts, i), h))
				l->count++;
			else if (refused)
				(*refused)++;
		}
	}
	json_decref(obj);
	return l;
}
