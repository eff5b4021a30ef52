#include "codec/http1.h"

#include <pthread.h>
#include <string.h>
#include <strings.h>

#include "codec/http1_head.h"

#define STATUS_INFORMATIONAL_MIN 100
#define STATUS_SWITCHING 101
#define STATUS_INFORMATIONAL_MAX 199
#define STATUS_NOT_MODIFIED 304
#define STATUS_MAX 599
/* Header fields for which there is room at first. */
#define FIELDS_START 16
/* Header fields for which there is room in an idle reader at most. */
#define FIELDS_KEPT 512
/* Interim responses (1xx) before a response; a target sends one or two. */
#define INTERIM_MAX 8
/* Ends the parsing, as any value but 0, 1 and 2 does. */
#define HEAD_REFUSED (-1)
/* Bytes beyond the body that are accepted in any case. */
#define FRAMING_BYTES_MIN 16384
/* Bytes of the head with its separators for each one that counts as the head. */
#define HEAD_FRAMING 4
/* Bytes of the framing of chunks for each byte of the body. */
#define CHUNK_FRAMING 8

static int fail(struct http1_reader *h, enum err_code code)
{
	h->state = HTTP1_BAD;
	h->error = code;
	return 1;
}

/*
 * Trailer fields, which come behind a chunked body, are read and dropped: they
 * would stand among the header fields otherwise.
 */
static int add_head_text(struct http1_reader *h, struct buf *to, const char *at,
			 size_t len)
{
	h->head_bytes += (uint32_t)len;
	if (h->head_bytes > h->limits.head_bytes) {
		h->head_too_large = 1;
		return fail(h, ERR_TOO_LARGE);
	}
	if (h->state == HTTP1_HEAD)
		buf_add(to, at, len);
	return 0;
}

static int on_begin(http_parser *p)
{
	struct http1_reader *h = p->data;

	h->state = HTTP1_HEAD;
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct http1_reader *h = p->data;

	return add_head_text(h, &h->url, at, len);
}

/* Begins a field whose name comes next. */
static void add_field(struct http1_reader *h)
{
	if (h->field_count == h->field_capacity) {
		h->field_capacity =
			util_max_u32(FIELDS_START, 2 * h->field_capacity);
		h->fields = util_grow(h->fields, h->field_capacity,
				      sizeof(h->fields[0]));
	}
	buf_add(&h->field_text, "", 1);
	h->fields[h->field_count++] = (struct http1_field){
		.name_offset = (uint32_t)h->field_text.len_bytes
	};
}

static int on_name(http_parser *p, const char *at, size_t len)
{
	struct http1_reader *h = p->data;

	/* A name that follows a value, or comes first, begins a field. */
	if (h->state == HTTP1_HEAD && (h->in_value || h->field_count == 0)) {
		add_field(h);
		h->in_value = 0;
	}
	return add_head_text(h, &h->field_text, at, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http1_reader *h = p->data;

	/* The parser does not look at the first byte of a value. */
	if (!http1_text_ok(at, len))
		return fail(h, ERR_BAD_FIELD);
	if (h->state == HTTP1_HEAD && !h->in_value) {
		buf_add(&h->field_text, "", 1);
		h->fields[h->field_count - 1].value_offset =
			(uint32_t)h->field_text.len_bytes;
		h->in_value = 1;
	}
	return add_head_text(h, &h->field_text, at, len);
}

/* Removes the white space behind the value of field @i. */
static void trim_value(struct http1_reader *h, uint32_t i)
{
	size_t begin = h->fields[i].value_offset;
	char *text = h->field_text.data;
	size_t len;

	if (!begin)
		return;
	len = strlen(text + begin);
	while (len &&
	       (text[begin + len - 1] == ' ' || text[begin + len - 1] == '\t'))
		text[begin + --len] = '\0';
}

/*
 * Checks what the parser accepts although the standard does not: a name with a
 * space, which another reader takes for another field; a request target with
 * white space, which ends there for another reader; and a status that is none.
 */
static int head_ok(struct http1_reader *h)
{
	uint32_t i;

	if (h->kind == HTTP1_REQUEST ? !http1_target_ok(h->url.data)
				     : !http1_status_ok(http1_status(h)))
		return 0;
	for (i = 0; i < h->field_count; i++) {
		if (!http1_token_ok(http1_field_name(h, i)))
			return 0;
		trim_value(h, i);
	}
	return 1;
}

static int on_head(http_parser *p)
{
	struct http1_reader *h = p->data;

	if (!head_ok(h)) {
		fail(h, ERR_BAD_FIELD);
		return HEAD_REFUSED;
	}
	/*
	 * An offer of another protocol is ignored (RFC 9110, section 7.8).
	 * CONNECT is no offer: what follows it is not HTTP/1.1.
	 */
	if (h->kind == HTTP1_REQUEST && p->method != HTTP_CONNECT)
		p->upgrade = 0;
	h->state = HTTP1_BODY;
	/* 1 tells the parser that the message ends here. */
	return h->kind == HTTP1_RESPONSE &&
	       !http1_has_body((int)h->is_head_response, http1_status(h));
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http1_reader *h = p->data;

	if (h->body.len_bytes + len > h->limits.body_bytes)
		return fail(h, ERR_TOO_LARGE);
	buf_add(&h->body, at, len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http1_reader *h = p->data;

	h->state = HTTP1_COMPLETE;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void clear_message(struct http1_reader *h)
{
	buf_reset(&h->field_text);
	buf_reset(&h->url);
	buf_reset(&h->body);
	h->field_count = 0;
	if (h->field_capacity > FIELDS_KEPT) {
		free(h->fields);
		h->fields = NULL;
		h->field_capacity = 0;
	}
	h->head_bytes = 0;
	h->in_value = 0;
	h->head_too_large = 0;
	h->error = ERR_OK;
	h->state = HTTP1_IDLE;
}

/* The parser's own limit of 80 KB would hold beside those of the reader. */
static void lift_parser_limit(void)
{
	http_parser_set_max_header_size(UINT32_MAX);
}

void http1_init(struct http1_reader *h, enum http1_kind kind,
		const struct http1_limits *limits)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;

	pthread_once(&once, lift_parser_limit);
	memset(h, 0, sizeof(*h));
	h->kind = kind;
	h->limits = *limits;
	http_parser_init(&h->parser,
			 kind == HTTP1_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	h->parser.data = h;
}

void http1_clear(struct http1_reader *h)
{
	buf_free(&h->field_text);
	buf_free(&h->url);
	buf_free(&h->body);
	free(h->fields);
	h->fields = NULL;
	h->field_capacity = 0;
}

size_t http1_held_bytes(const struct http1_reader *h)
{
	return h->field_text.cap_bytes + h->url.cap_bytes + h->body.cap_bytes +
	       h->field_capacity * sizeof(h->fields[0]);
}

static void begin_message(struct http1_reader *h)
{
	clear_message(h);
	if (HTTP_PARSER_ERRNO(&h->parser) == HPE_PAUSED)
		http_parser_pause(&h->parser, 0);
}

void http1_reset(struct http1_reader *h)
{
	begin_message(h);
	h->message_bytes = 0;
	h->interim_count = 0;
}

/*
 * Fails a message whose framing goes on without end. A body in chunks of one byte
 * has five bytes of framing for each of them.
 */
static void check_framing(struct http1_reader *h)
{
	uint64_t bytes_max = FRAMING_BYTES_MIN +
			     HEAD_FRAMING * (uint64_t)h->limits.head_bytes +
			     (1 + CHUNK_FRAMING) * (uint64_t)h->body.len_bytes;

	if (h->message_bytes > bytes_max && h->state != HTTP1_COMPLETE &&
	    h->state != HTTP1_BAD)
		fail(h, ERR_TOO_LARGE);
}

static size_t parse_message(struct http1_reader *h, const char *data,
			    size_t len)
{
	size_t used = http_parser_execute(&h->parser, &settings, data, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&h->parser);

	if (error != HPE_OK && error != HPE_PAUSED && h->state != HTTP1_BAD)
		fail(h, ERR_BAD_FIELD);
	/* A protocol switch is refused. */
	if (h->parser.upgrade && h->state != HTTP1_BAD)
		fail(h, ERR_BAD_FIELD);
	h->message_bytes += used;
	check_framing(h);
	return used;
}

/* Drops an interim response; returns 1 if the message read was one. */
static int skip_interim(struct http1_reader *h)
{
	if (h->state != HTTP1_COMPLETE || h->kind != HTTP1_RESPONSE ||
	    http1_status(h) > STATUS_INFORMATIONAL_MAX)
		return 0;
	if (++h->interim_count > INTERIM_MAX)
		fail(h, ERR_TOO_LARGE);
	else
		begin_message(h);
	return h->state != HTTP1_BAD;
}

size_t http1_parse(struct http1_reader *h, const char *data, size_t len)
{
	size_t used = parse_message(h, data, len);

	while (skip_interim(h) && used < len)
		used += parse_message(h, data + used, len - used);
	return used;
}

void http1_eof(struct http1_reader *h)
{
	if (h->state == HTTP1_COMPLETE || h->state == HTTP1_BAD)
		return;
	http1_parse(h, NULL, 0);
	if (h->state != HTTP1_COMPLETE)
		fail(h, ERR_TARGET_CLOSED);
}

const char *http1_field_name(const struct http1_reader *h, uint32_t i)
{
	return h->field_text.data + h->fields[i].name_offset;
}

const char *http1_field_value(const struct http1_reader *h, uint32_t i)
{
	return h->fields[i].value_offset
		       ? h->field_text.data + h->fields[i].value_offset
		       : "";
}

const char *http1_find(const struct http1_reader *h, const char *name)
{
	uint32_t i;

	for (i = 0; i < h->field_count; i++) {
		if (strcasecmp(http1_field_name(h, i), name) == 0)
			return http1_field_value(h, i);
	}
	return NULL;
}

int http1_keep_alive(const struct http1_reader *h)
{
	return http_should_keep_alive(&h->parser) != 0;
}

const char *http1_method(const struct http1_reader *h)
{
	return http_method_str((enum http_method)h->parser.method);
}

uint32_t http1_status(const struct http1_reader *h)
{
	return h->parser.status_code;
}

int http1_status_ok(uint32_t status)
{
	return status >= STATUS_INFORMATIONAL_MIN && status <= STATUS_MAX &&
	       status != STATUS_SWITCHING;
}

int http1_has_body(int is_head, uint32_t status)
{
	return !is_head && status > STATUS_INFORMATIONAL_MAX &&
	       status != HTTP1_NO_CONTENT && status != STATUS_NOT_MODIFIED;
}

/* 1 if the list of tokens @list, separated by commas, has @token. */
static int has_token(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list) {
		size_t n = strcspn(list, " \t,");

		if (n == len && strncasecmp(list, token, n) == 0)
			return 1;
		list += n;
		list += strspn(list, " \t,");
	}
	return 0;
}

int http1_is_nominated(const struct http1_reader *h, uint32_t i)
{
	const char *name = http1_field_name(h, i);
	uint32_t k;

	for (k = 0; k < h->field_count; k++) {
		if (strcasecmp(http1_field_name(h, k), "Connection") == 0 &&
		    has_token(http1_field_value(h, k), name))
			return 1;
	}
	return 0;
}

int http1_is_hop_by_hop(const char *name)
{
	static const char *const hop[] = {
		"Connection", "Keep-Alive",	"Proxy-Connection",
		"TE",	      "Trailer",	"Transfer-Encoding",
		"Upgrade",    "Content-Length",
	};
	uint32_t i;

	for (i = 0; i < countof(hop); i++) {
		if (strcasecmp(hop[i], name) == 0)
			return 1;
	}
	return 0;
}

const char *http1_reason_phrase(uint32_t status)
{
	const char *text = http_status_str((enum http_status)status);

	return text[0] == '<' ? "Unknown" : text;
}
