/*
 * JSON of the admin API (docs/ADMIN.md). Encoders return text that the caller
 * frees; every answer carries "code" and "error" as in docs/ERRORS.md.
 */
#ifndef AJSON_H
#define AJSON_H

#include <stdint.h>

#include "controller/evacuation.h"
#include "controller/rollout.h"
#include "controller/slo.h"
#include "model/change.h"

/* Body of POST versions/SERVICE/start. */
struct ajson_start {
	char from[NAME_BYTES];
	char to[NAME_BYTES];
	/* Seconds from now until the rollout has to be done. */
	uint32_t finish_in_s;
};

/* A rollout has six steps of at least 2 s each, and is watched on the way. */
#define AJSON_FINISH_MIN_S 30
#define AJSON_FINISH_MAX_S 604800

/* ERR_BAD_JSON, or ERR_BAD_FIELD with the field and its accepted range. */
enum err_code ajson_start(const char *text, struct ajson_start *out,
			  struct err *err);
/* Optional "reason" of a body that may be NULL; at most @size_bytes - 1. */
enum err_code ajson_reason(const char *text, char *out, size_t size_bytes,
			   struct err *err);

char *ajson_error(const struct err *err);
char *ajson_change(const struct change *c);
/* {"code":0,"error":"OK","valid":true} */
char *ajson_valid(void);
/* @json: the document, text of a JSON object. */
char *ajson_item(const struct cfg_item *item);

/* Builds {"code":0,"error":"OK",NAME:[...]}; the elements are added in turn. */
struct ajson_list;

struct ajson_list *ajson_list_new(const char *name);
void ajson_list_free(struct ajson_list *l);
void ajson_list_item(struct ajson_list *l, const struct cfg_item *item);
void ajson_list_change(struct ajson_list *l, const struct change *c);
void ajson_list_slo(struct ajson_list *l, const struct slo_report *r);
/* One changed field; NULL when it is absent on that side. */
void ajson_list_diff(struct ajson_list *l, const char *field,
		     const char *before, const char *after);
/*
 * Adds {"field","before","after"} for each field in which the documents
 * differ. @before may be NULL. ERR_BAD_JSON when @after is no JSON object.
 */
enum err_code ajson_list_differences(struct ajson_list *l, const char *before,
				     const char *after, struct err *err);
/* Frees @l. */
char *ajson_list_text(struct ajson_list *l);

struct ajson_rollout {
	const struct rollout_item *item;
	uint64_t rev;
	/* Reason when this host has marked the new version bad, else NULL. */
	const char *bad;
	/* Share that this host gives the new version. */
	uint32_t share_permille;
	uint64_t score_milli;
	uint64_t threshold_milli;
};

char *ajson_rollout(const struct ajson_rollout *r);
char *ajson_dc(const struct evacuation_status *s, const char *text);

struct ajson_status {
	const char *host;
	const char *data_centre;
	uint64_t rev;
	uint32_t store_up;
	uint32_t host_count;
	const struct evacuation_host *hosts;
	uint32_t rollout_count;
	const struct ajson_rollout *rollouts;
	uint32_t dc_count;
	const struct evacuation_status *dcs;
	/* The same in plain lines. */
	const char *text;
};

char *ajson_status(const struct ajson_status *s);

#endif
