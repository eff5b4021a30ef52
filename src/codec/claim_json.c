#include "codec/claim_json.h"

#include <jansson.h>
#include <string.h>

char *claim_json_encode(const struct once_claim *c)
{
	json_t *body = json_pack("{s:s,s:s}", "token", c->token, "outcome",
				 outcome_name(c->outcome));
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text ? text : util_strdup("{}");
}

static int decode_outcome(const char *name, enum outcome *out)
{
	enum outcome o;

	for (o = OUTCOME_DONE; o <= OUTCOME_UNKNOWN; o++) {
		if (strcmp(outcome_name(o), name) == 0) {
			*out = o;
			return 1;
		}
	}
	return 0;
}

int claim_json_decode(struct once_claim *c, const char *text, size_t text_bytes)
{
	json_t *body = json_loadb(text, text_bytes, 0, NULL);
	const char *token = json_string_value(json_object_get(body, "token"));
	const char *outcome = json_string_value(json_object_get(body, "outcom"
								      "e"));
	int ok = token && outcome &&
		 util_copy_str(c->token, NAME_BYTES, token) &&
		 decode_outcome(outcome, &c->outcome);

	json_decref(body);
	return ok;
}
