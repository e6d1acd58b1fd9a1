/* Conversion of messages from YAML and to JSON, driven by protobuf-c's
 * descriptors. */
#include "wp_pb.h"
#include "wp_code.h"

#include <errno.h>
#include <stdlib.h>
#include <yaml.h>

typedef struct Reader {
    yaml_document_t doc;
    const char *file;
    GError **error;
} Reader;

typedef const ProtobufCFieldDescriptor Field;

static bool read_message(Reader *r, yaml_node_t *node, ProtobufCMessage *m);

static bool fail_at(Reader *r, yaml_node_t *node, const char *name,
                    const char *expected)
{
    g_set_error(r->error, WP_ERROR, WP_ERROR_INPUT, "%s:%zu: %s: %s", r->file,
                node->start_mark.line + 1, name, expected);
    return false;
}

static size_t field_size(Field *f)
{
    switch (f->type) {
    case PROTOBUF_C_TYPE_BOOL:
        return sizeof(protobuf_c_boolean);
    case PROTOBUF_C_TYPE_INT32:
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
        return 4;
    case PROTOBUF_C_TYPE_INT64:
    case PROTOBUF_C_TYPE_UINT64:
    case PROTOBUF_C_TYPE_DOUBLE:
        return 8;
    case PROTOBUF_C_TYPE_BYTES:
        return sizeof(ProtobufCBinaryData);
    default:
        return sizeof(void *);
    }
}

static bool read_int(const char *s, int64_t *out)
{
    char *end;
    errno = 0;
    *out = g_ascii_strtoll(s, &end, 10);
    return *s && !*end && !errno;
}

static bool read_number(Reader *r, yaml_node_t *node, Field *f, const char *s,
                        void *at)
{
    int64_t v = 0;
    bool small = field_size(f) == 4;
    bool sign =
        f->type == PROTOBUF_C_TYPE_INT32 || f->type == PROTOBUF_C_TYPE_INT64;
    int64_t small_max = sign ? INT32_MAX : UINT32_MAX;
    if (!read_int(s, &v) || (!sign && v < 0) ||
        (small && (v > small_max || v < INT32_MIN)))
        return fail_at(r, node, f->name, "expected a whole number");
    if (small)
        *(uint32_t *)at = (uint32_t)v;
    else
        *(uint64_t *)at = (uint64_t)v;
    return true;
}

static bool read_bool(Reader *r, yaml_node_t *node, Field *f, const char *s,
                      void *at)
{
    bool yes = !strcmp(s, "true") || !strcmp(s, "yes");
    if (!yes && strcmp(s, "false") && strcmp(s, "no"))
        return fail_at(r, node, f->name, "expected true or false");
    *(protobuf_c_boolean *)at = yes;
    return true;
}

static bool read_double(Reader *r, yaml_node_t *node, Field *f, const char *s,
                        void *at)
{
    char *end;
    *(double *)at = g_ascii_strtod(s, &end);
    return *s && !*end ? true : fail_at(r, node, f->name, "expected a number");
}

/* Sets a field of a scalar type at `at` from a YAML value; returns false and
   sets the error if the value does not fit. */
static bool read_scalar(Reader *r, yaml_node_t *node, Field *f, void *at)
{
    if (node->type != YAML_SCALAR_NODE)
        return fail_at(r, node, f->name, "expected a single value");
    const char *s = (const char *)node->data.scalar.value;
    switch (f->type) {
    case PROTOBUF_C_TYPE_STRING:
        *(char **)at = g_strdup(s);
        return true;
    case PROTOBUF_C_TYPE_BOOL:
        return read_bool(r, node, f, s, at);
    case PROTOBUF_C_TYPE_DOUBLE:
        return read_double(r, node, f, s, at);
    case PROTOBUF_C_TYPE_BYTES:
        return fail_at(r, node, f->name, "bytes cannot be set from YAML");
    default:
        return read_number(r, node, f, s, at);
    }
}

static ProtobufCMessage *new_message(const ProtobufCMessageDescriptor *type)
{
    ProtobufCMessage *m = calloc(1, type->sizeof_message);
    g_assert(m);
    type->message_init(m);
    return m;
}

static bool read_one(Reader *r, yaml_node_t *node, Field *f, void *at)
{
    if (f->type != PROTOBUF_C_TYPE_MESSAGE)
        return read_scalar(r, node, f, at);
    ProtobufCMessage *sub = new_message(f->descriptor);
    *(ProtobufCMessage **)at = sub;
    return read_message(r, node, sub);
}

/* Appends a zeroed element to a repeated field and returns its address. */
static void *append_element(ProtobufCMessage *m, Field *f)
{
    size_t *n = (size_t *)((char *)m + f->quantifier_offset);
    char **items = (char **)WP_FIELD(m, f);
    size_t size = field_size(f);
    *items = g_realloc(*items, (*n + 1) * size);
    memset(*items + *n * size, 0, size);
    return *items + (*n)++ * size;
}

/* Reads a mapping into a repeated Label, whose first two fields are key and
   value. */
static bool read_labels(Reader *r, yaml_node_t *node, Field *f,
                        ProtobufCMessage *m)
{
    yaml_node_pair_t *p = node->data.mapping.pairs.start;
    const ProtobufCMessageDescriptor *type = f->descriptor;
    for (; p < node->data.mapping.pairs.top; p++) {
        yaml_node_t *k = yaml_document_get_node(&r->doc, p->key);
        yaml_node_t *v = yaml_document_get_node(&r->doc, p->value);
        ProtobufCMessage *label = new_message(type);
        *(ProtobufCMessage **)append_element(m, f) = label;
        if (!read_scalar(r, k, &type->fields[0],
                         WP_FIELD(label, &type->fields[0])) ||
            !read_scalar(r, v, &type->fields[1],
                         WP_FIELD(label, &type->fields[1])))
            return false;
    }
    return true;
}

static bool read_list(Reader *r, yaml_node_t *node, Field *f,
                      ProtobufCMessage *m)
{
    if (f->type == PROTOBUF_C_TYPE_MESSAGE && node->type == YAML_MAPPING_NODE &&
        !strcmp(((const ProtobufCMessageDescriptor *)f->descriptor)->name,
                "wp.Label"))
        return read_labels(r, node, f, m);
    if (node->type != YAML_SEQUENCE_NODE)
        return fail_at(r, node, f->name, "expected a list");
    yaml_node_item_t *i = node->data.sequence.items.start;
    for (; i < node->data.sequence.items.top; i++)
        if (!read_one(r, yaml_document_get_node(&r->doc, *i), f,
                      append_element(m, f)))
            return false;
    return true;
}

/* Returns the field that `key` names; NULL, with an error set, if there is
   none. */
static Field *find_field(Reader *r, yaml_node_t *key, const ProtobufCMessage *m)
{
    const ProtobufCMessageDescriptor *type = m->descriptor;
    g_autoptr(GString) known = g_string_new("unknown; expected one of");
    if (key->type != YAML_SCALAR_NODE) {
        fail_at(r, key, type->short_name, "expected a field's name");
        return NULL;
    }
    const char *name = (const char *)key->data.scalar.value;
    Field *f = protobuf_c_message_descriptor_get_field_by_name(type, name);
    for (unsigned i = 0; !f && i < type->n_fields; i++)
        g_string_append_printf(known, " %s", type->fields[i].name);
    if (!f)
        fail_at(r, key, name, known->str);
    return f;
}

/* Returns whether the node is `field:` without a value, as a template writes a
   value that is not set. */
static bool is_empty(const yaml_node_t *node)
{
    return node->type == YAML_SCALAR_NODE && !node->data.scalar.length &&
           node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

/* An optional field without a value keeps its default. */
static bool read_field(Reader *r, yaml_node_t *value, Field *f,
                       ProtobufCMessage *m)
{
    if (f->label == PROTOBUF_C_LABEL_OPTIONAL && is_empty(value))
        return true;
    if (f->label == PROTOBUF_C_LABEL_REPEATED)
        return read_list(r, value, f, m);
    if (f->quantifier_offset)
        *(protobuf_c_boolean *)((char *)m + f->quantifier_offset) = 1;
    return read_one(r, value, f, WP_FIELD(m, f));
}

static bool missing_field(Reader *r, yaml_node_t *node,
                          const ProtobufCMessage *m, const bool *seen)
{
    for (unsigned i = 0; i < m->descriptor->n_fields; i++) {
        Field *f = &m->descriptor->fields[i];
        if (f->label == PROTOBUF_C_LABEL_REQUIRED && !seen[i]) {
            fail_at(r, node, f->name, "this field is required");
            return true;
        }
    }
    return false;
}

/* Fills a message from a YAML mapping. Fails on unknown, repeated and missing
   fields. */
static bool read_message(Reader *r, yaml_node_t *node, ProtobufCMessage *m)
{
    g_autofree bool *seen = g_new0(bool, m->descriptor->n_fields + 1);
    if (node->type != YAML_MAPPING_NODE)
        return fail_at(r, node, m->descriptor->short_name,
                       "expected a mapping");
    yaml_node_pair_t *p = node->data.mapping.pairs.start;
    for (; p < node->data.mapping.pairs.top; p++) {
        yaml_node_t *key = yaml_document_get_node(&r->doc, p->key);
        yaml_node_t *value = yaml_document_get_node(&r->doc, p->value);
        Field *f = find_field(r, key, m);
        if (!f)
            return false;
        bool *known = &seen[f - m->descriptor->fields];
        if (*known)
            return fail_at(r, key, f->name, "written twice");
        *known = true;
        if (!read_field(r, value, f, m))
            return false;
    }
    return !missing_field(r, node, m, seen);
}

ProtobufCMessage *wp_yaml_read(const ProtobufCMessageDescriptor *type,
                               WPStr text, const char *file, GError **error)
{
    Reader r = { .file = file, .error = error };
    yaml_parser_t parser;
    ProtobufCMessage *m = NULL;
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_string(&parser, (const unsigned char *)text.p,
                                 text.n);
    if (!yaml_parser_load(&parser, &r.doc)) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "%s:%zu: %s", file,
                    parser.problem_mark.line + 1,
                    parser.problem ? parser.problem : "not YAML");
        yaml_parser_delete(&parser);
        return NULL;
    }
    yaml_node_t *root = yaml_document_get_root_node(&r.doc);
    if (!root) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "%s: the file is empty",
                    file);
        goto done;
    }
    m = new_message(type);
    if (!read_message(&r, root, m)) {
        wp_pb_free(m);
        m = NULL;
    }
done:
    yaml_document_delete(&r.doc);
    yaml_parser_delete(&parser);
    return m;
}

static json_t *json_scalar(Field *f, const void *at)
{
    switch (f->type) {
    case PROTOBUF_C_TYPE_STRING:
        return json_string(*(char *const *)at);
    case PROTOBUF_C_TYPE_BOOL:
        return json_boolean(*(const protobuf_c_boolean *)at);
    case PROTOBUF_C_TYPE_DOUBLE:
        return json_real(*(const double *)at);
    case PROTOBUF_C_TYPE_INT32:
        return json_integer(*(const int32_t *)at);
    case PROTOBUF_C_TYPE_UINT32:
    case PROTOBUF_C_TYPE_ENUM:
        return json_integer(*(const uint32_t *)at);
    case PROTOBUF_C_TYPE_MESSAGE:
        return wp_pb_json(*(ProtobufCMessage *const *)at);
    case PROTOBUF_C_TYPE_BYTES: {
        const ProtobufCBinaryData *b = at;
        g_autofree char *text = g_base64_encode(b->data, b->len);
        return json_string(text);
    }
    default:
        return json_integer((json_int_t) * (const uint64_t *)at);
    }
}

static bool field_present(Field *f, const ProtobufCMessage *m)
{
    if (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
        return *(const uint32_t *)((const char *)m + f->quantifier_offset) ==
               f->id;
    if (f->type == PROTOBUF_C_TYPE_STRING || f->type == PROTOBUF_C_TYPE_MESSAGE)
        return *(void *const *)WP_FIELD(m, f) != NULL;
    return true;
}

/* A repeated field as a JSON array; a list of labels as an object. */
static json_t *json_list(Field *f, const ProtobufCMessage *m)
{
    size_t n = *(const size_t *)((const char *)m + f->quantifier_offset);
    const char *items = *(char *const *)WP_FIELD(m, f);
    bool labels =
        f->type == PROTOBUF_C_TYPE_MESSAGE &&
        !strcmp(((const ProtobufCMessageDescriptor *)f->descriptor)->name,
                "wp.Label");
    json_t *out = labels ? json_object() : json_array();
    for (size_t i = 0; i < n; i++) {
        const void *at = items + i * field_size(f);
        if (!labels) {
            json_array_append_new(out, json_scalar(f, at));
            continue;
        }
        const ProtobufCMessage *l = *(ProtobufCMessage *const *)at;
        Field *fs = l->descriptor->fields;
        json_object_set_new(out, *(char **)WP_FIELD(l, &fs[0]),
                            json_string(*(char **)WP_FIELD(l, &fs[1])));
    }
    return out;
}

json_t *wp_pb_json(const ProtobufCMessage *m)
{
    json_t *o = json_object();
    for (unsigned i = 0; i < m->descriptor->n_fields; i++) {
        Field *f = &m->descriptor->fields[i];
        if (f->label == PROTOBUF_C_LABEL_REPEATED)
            json_object_set_new(o, f->name, json_list(f, m));
        else if (field_present(f, m))
            json_object_set_new(o, f->name, json_scalar(f, WP_FIELD(m, f)));
    }
    return o;
}

GByteArray *wp_pb_pack(const ProtobufCMessage *m)
{
    GByteArray *b = g_byte_array_new();
    g_byte_array_set_size(b, (guint)protobuf_c_message_get_packed_size(m));
    protobuf_c_message_pack(m, b->data);
    return b;
}

void *wp_pb_copy(const ProtobufCMessage *m)
{
    g_autoptr(GByteArray) b = wp_pb_pack(m);
    return protobuf_c_message_unpack(m->descriptor, NULL, b->len, b->data);
}
