#include "store_client.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "client.h"

int store_client_put(uint16_t port, const char *key, const char *value,
		     uint32_t timeout_ms)
{
	struct client_answer a;
	json_t *doc;
	char *text;
	int ok;

	if (value) {
		g_autofree char *coded =
			g_base64_encode((const guchar *)value, strlen(value));

		doc = json_pack("{s:[],s:[{s:s,s:s,s:i}],s:[]}", "expect",
				"writes", "key", key, "value", coded, "lease",
				0, "delete");
	} else {
		doc = json_pack("{s:[],s:[],s:[s]}", "expect", "writes",
				"delete", key);
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	client_call(&a, "POST", port, "/api/kv-txn", text, timeout_ms);
	ok = a.status == 200;
	client_clear(&a);
	free(text);
	return ok;
}
