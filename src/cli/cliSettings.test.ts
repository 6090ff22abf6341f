import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, it } from 'vitest'
import { resolveCliSettings } from './cliSettings.js'

const path = join(mkdtempSync(join(tmpdir(), 'baobabdrift-settings-')), 'cli.yaml')
writeFileSync(path, 'logUrl: http://127.0.0.1:7001\nentries: ["127.0.0.1:8101"]\ntimeoutMs: 900\n')

it('gives flags precedence over the file for each field', () => {
  expect(resolveCliSettings({ entries: '10.0.0.1:1, 10.0.0.2:2' }, path))
    .toEqual({ logUrl: 'http://127.0.0.1:7001', entries: ['10.0.0.1:1', '10.0.0.2:2'], timeoutMs: 900 })
  expect(resolveCliSettings({ settings: path, 'log-url': 'http://127.0.0.1:9' }, '/no/such/file').logUrl).toBe('http://127.0.0.1:9')
  expect(resolveCliSettings({}, '/no/such/file')).toMatchObject({ logUrl: undefined, entries: [] })
})

it('reports an unknown field of the file', () => {
  const bad = `${path}.bad`
  writeFileSync(bad, 'logURL: http://127.0.0.1:7001\n')
  expect(() => resolveCliSettings({ settings: bad }, path)).toThrow(/logURL: unknown field/)
})
