#include "core_stamp.h"

#include <inttypes.h>
#include <string.h>

#include "core_ini.h"

/* Largest integer that JSON parsers with doubles represent exactly. */
#define NUMBER_MAX ((1ULL << 53) - 1)

static bool read_number(const char **pos, const char *label, uint64_t *value);

bool gh_stamp_parse(const char *text, gh_stamp_t *stamp)
{
	static const char writer_label[] = " writer=";
	const char *pos = text;
	size_t len;

	if (!read_number(&pos, "# generation=", &stamp->generation) ||
	    !g_str_has_prefix(pos, writer_label))
		return false;
	pos += strlen(writer_label);
	len = strcspn(pos, " \n");
	if (len > GH_NAME_MAX)
		return false;
	memcpy(stamp->writer, pos, len);
	stamp->writer[len] = '\0';
	pos += len;
	return gh_ini_is_name(stamp->writer) &&
	       read_number(&pos, " sequence=", &stamp->sequence) &&
	       (*pos == '\n' || !*pos);
}

const char *gh_stamp_body(const char *text)
{
	gh_stamp_t stamp;
	const char *eol;

	if (!gh_stamp_parse(text, &stamp))
		return text;
	eol = strchr(text, '\n');
	return eol ? eol + 1 : "";
}

char *gh_stamp_prepend(const gh_stamp_t *stamp, const char *body)
{
	return g_strdup_printf(
		"# generation=%" PRIu64 " writer=%s sequence=%" PRIu64 "\n%s",
		stamp->generation, stamp->writer, stamp->sequence, body);
}

uint64_t gh_stamp_next_generation(uint64_t highest, gh_time_t now)
{
	uint64_t now_ms = now > 0 ? (uint64_t)gh_time_to_ms(now) : 0;

	return highest < now_ms ? now_ms : highest + 1;
}

/* Reads "<label><number>" at *pos and moves *pos past it. */
static bool read_number(const char **pos, const char *label, uint64_t *value)
{
	char *end = NULL;

	if (!g_str_has_prefix(*pos, label))
		return false;
	*pos += strlen(label);
	if (!g_ascii_isdigit(**pos))
		return false;
	*value = g_ascii_strtoull(*pos, &end, 10);
	*pos = end;
	return *value <= NUMBER_MAX;
}
