// Lists what the workspace may name, asks plainly and as a stream, and shows
// the shape of an error.
import OpenAI from 'openai';

const [baseURL, apiKey] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey });
const question = [{ role: 'user', content: 'Where is the next free dock?' }];

const models = await client.models.list();
console.log('may name:', models.data.map((m) => m.id).join(' '));

const plain = await client.chat.completions.create({
  model: 'rider-answer',
  max_tokens: 8,
  messages: question,
});
console.log('plain:', plain.choices[0].message.content, plain.usage);

const stream = await client.chat.completions.create({
  model: 'plan',
  max_tokens: 8,
  stream: true,
  stream_options: { include_usage: true },
  messages: question,
});
let text = '';
for await (const piece of stream) {
  text += piece.choices[0]?.delta.content ?? '';
  if (piece.usage) console.log('usage:', piece.usage);
}
console.log('stream:', text);

try {
  await client.chat.completions.create({ model: 'nothing', messages: question });
} catch (e) {
  console.log('error:', e.status, e.code, e.error.ran);
}
