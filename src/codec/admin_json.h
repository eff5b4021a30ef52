/*
 * JSON of the admin API (docs/ADMIN.md). Encoders return text that the caller
 * frees; every answer carries "code" and "error" as in docs/ERRORS.md.
 */
#ifndef ADMIN_JSON_H
#define ADMIN_JSON_H

#include <stdint.h>

#include "controller/evacuation.h"
#include "controller/rollout.h"
#include "controller/slo.h"
#include "model/change.h"

/* Body of POST versions/SERVICE/start. */
struct admin_json_start {
	char from[NAME_BYTES];
	char to[NAME_BYTES];
	/* Seconds from now until the rollout has to be done. */
	uint32_t finish_in_s;
};

/*
 * Range of finish_in_s. A rollout has six steps of at least 2 s each, and the
 * new version is observed in the course of it.
 */
#define ADMIN_JSON_FINISH_MIN_S 30
#define ADMIN_JSON_FINISH_MAX_S 604800

/*
 * Decodes the body @text. ERR_BAD_JSON if it is not a JSON object, or
 * ERR_BAD_FIELD with the field and what is accepted.
 */
enum err_code admin_json_start(const char *text, struct admin_json_start *out,
			       struct err *err);
/*
 * Copies the "reason" of the body @text to @out; empty when the body is NULL
 * or empty or has no reason. ERR_BAD_JSON when the body is not a JSON object,
 * ERR_BAD_FIELD when the reason is longer than @size_bytes - 1 bytes.
 */
enum err_code admin_json_decode_reason(const char *text, char *out,
				       size_t size_bytes, struct err *err);

char *admin_json_error(const struct err *err);
char *admin_json_change(const struct change *c);
/* {"code":0,"error":"OK","valid":true} */
char *admin_json_valid_answer(void);
/* "document" is null when @item was deleted. */
char *admin_json_item(const struct cfg_item *item);

/* Builder of {"code":0,"error":"OK",NAME:[...]}; elements are appended. */
struct admin_json_list;

struct admin_json_list *admin_json_list_new(const char *name);
void admin_json_list_free(struct admin_json_list *l);
void admin_json_list_add_item(struct admin_json_list *l,
			      const struct cfg_item *item);
void admin_json_list_add_change(struct admin_json_list *l,
				const struct change *c);
void admin_json_list_add_slo(struct admin_json_list *l,
			     const struct slo_report *r);
/*
 * Adds {"field","before","after"}. @before or @after is NULL, and left out,
 * when that side has no such field.
 */
void admin_json_list_add_diff(struct admin_json_list *l, const char *field,
			      const char *before, const char *after);
/*
 * Adds {"field","before","after"} for each field in which the documents
 * @before, which may be NULL, and @after differ. ERR_BAD_JSON when @after is
 * not a JSON object.
 */
enum err_code admin_json_list_compare(struct admin_json_list *l,
				      const char *before, const char *after,
				      struct err *err);
/* Returns the text of the list and frees @l. */
char *admin_json_list_finish(struct admin_json_list *l);

struct admin_json_rollout {
	const struct rollout_item *item;
	/* Configuration revision that made the item. */
	uint64_t rev;
	/* Reason when this host has marked the new version bad, else NULL. */
	const char *bad_reason;
	/* Share that this host gives the new version. */
	uint32_t share_here_permille;
	/*
	 * Evidence against the new version and the value from which it counts
	 * as bad, in thousandths of a nat.
	 */
	uint64_t score_milli;
	uint64_t threshold_milli;
};

char *admin_json_rollout(const struct admin_json_rollout *r);
/* State of a data centre or of a host; @text: the same in plain lines. */
char *admin_json_dc(const struct evacuation_status *s, const char *text);

struct admin_json_status {
	const char *host;
	const char *data_centre;
	uint64_t rev;
	uint32_t store_up;
	uint32_t host_count;
	const struct evacuation_host *hosts;
	uint32_t rollout_count;
	const struct admin_json_rollout *rollouts;
	/* Data centres and hosts that are out of service or returning. */
	uint32_t dc_count;
	const struct evacuation_status *dcs;
	/* The same in plain lines. */
	const char *text;
};

char *admin_json_status(const struct admin_json_status *s);

#endif
