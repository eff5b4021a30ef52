#include "codec/gw_host_json.h"

#include <jansson.h>

#include "base/addr.h"

/* Thousandths of a core; the largest hosts have hundreds of cores. */
#define CORE_PERMILLE_MAX 1000000
#define LINK_MBPS_MAX 1000000

char *gw_host_json_encode(const struct host_entry *h)
{
	json_t *doc = json_pack("{s:s,s:s,s:i,s:i,s:i}", "data_centre",
				h->data_centre, "address", h->address, "port",
				(int)h->port, "core_permille",
				(int)h->core_permille, "link_mbps",
				(int)h->link_mbps);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

enum err_code gw_host_json_decode(const char *json, uint32_t json_bytes,
				  struct host_entry *out, struct err *err)
{
	json_t *doc = json_loadb(json, json_bytes, 0, NULL);
	const char *data_centre = "";
	const char *address = "";
	json_int_t port = 0;
	json_int_t core_permille = 0;
	/* Hosts of earlier builds do not state it. */
	json_int_t link_mbps = 0;
	int ok = doc &&
		 json_unpack(doc, "{s:s,s:s,s:I,s:I,s?I}", "data_centre",
			     &data_centre, "address", &address, "port", &port,
			     "core_permille", &core_permille, "link_mbps",
			     &link_mbps) == 0 &&
		 link_mbps >= 0 && link_mbps <= LINK_MBPS_MAX && port >= 0 &&
		 port <= UINT16_MAX && core_permille >= 0 &&
		 core_permille <= CORE_PERMILLE_MAX &&
		 (!port || addr_is_numeric(address)) &&
		 util_copy_str(out->data_centre, sizeof(out->data_centre),
			       data_centre) &&
		 util_copy_str(out->address, sizeof(out->address), address);

	out->port = (uint16_t)port;
	out->core_permille = (uint32_t)core_permille;
	out->link_mbps = (uint32_t)link_mbps;
	json_decref(doc);
	if (!ok)
		return err_set(err, ERR_BAD_FIELD,
			       "entry of a host is not understood");
	return ERR_OK;
}
