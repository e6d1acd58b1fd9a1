// Lists the models that the workspace may use, requests one complete and one
// streamed answer, and prints the fields of an error.
// Usage: chat.mjs BASE_URL API_KEY
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
for await (const chunk of stream) {
  text += chunk.choices[0]?.delta.content ?? '';
  if (chunk.usage) console.log('usage:', chunk.usage);
}
console.log('stream:', text);

try {
  await client.chat.completions.create({ model: 'nothing', messages: question });
} catch (e) {
  console.log('error:', e.status, e.code, e.error.ran);
}
